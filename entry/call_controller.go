package entry

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/spec"
	"crocusstep/wire"
)

const (
	keyHeader       = "Idempotency-Key"
	replayedHeader  = "Idempotency-Replayed"
	truncatedHeader = "Crocusstep-Answer-Truncated"
)

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", keyHeader, "Fencing-Token", requestHeader, "Crocusstep-Signature",
}

func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request, request ident.RequestID, params httprouter.Params) {
	run, refusal := e.newCallRun(w, r, request, params)
	if refusal != nil {
		e.refuse(w, request, refusal)
		return
	}
	reply, err := run.serve(r.Context())
	run.count(err)
	if err != nil {
		e.refuse(w, request, run.refusal(err))
		return
	}
	writeReply(w, reply)
}

func (e *Entry) newCallRun(w http.ResponseWriter, r *http.Request, request ident.RequestID, params httprouter.Params) (*callRun, *fault.Refusal) {
	arrived := time.Now()
	found, refusal := e.find(ident.ServiceName(params.ByName("service")))
	if refusal != nil {
		return nil, withoutDocument(refusal, r.Method)
	}
	document := found.Document
	path := params.ByName("path")
	call, ok := document.FindCall(r.Method, path)
	if !ok {
		return nil, fault.New(fault.UnknownCall, "%s has no call %s %s", document.Service, r.Method, path)
	}
	body, refusal := e.readBody(w, r, int64(min(document.Limits.BodySize, e.config.MaxBody)))
	if refusal != nil {
		return nil, refusal
	}
	run := &callRun{
		Entry:    e,
		request:  request,
		document: document,
		call:     call,
		arrived:  arrived,
		method:   r.Method,
		path:     pathAndQuery(path, r.URL.RawQuery),
		header:   passedOn(r.Header),
		body:     body,
	}
	if call.Class == spec.Action {
		refusal = run.identify(r.Header.Get(keyHeader), path)
	}
	return run, refusal
}

// withoutDocument makes a refusal true for a call whose class is not known: it
// may be an action that ran at an earlier attempt through another entry.
func withoutDocument(refusal *fault.Refusal, method string) *fault.Refusal {
	told := *refusal
	idempotent := method == http.MethodGet || method == http.MethodHead
	if told.Code != fault.UnknownService && !idempotent {
		told.Outcome = fault.Unknown
	}
	return &told
}

func pathAndQuery(path, query string) string {
	target := url.URL{Path: path, RawQuery: query}
	return target.RequestURI()
}

func passedOn(header http.Header) http.Header {
	passed := header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		passed.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}

func writeReply(w http.ResponseWriter, reply wire.CallResponse) {
	for name, values := range passedOn(reply.Header) {
		w.Header()[name] = values
	}
	if reply.Replayed {
		w.Header().Set(replayedHeader, "true")
	}
	if reply.Truncated {
		w.Header().Set(truncatedHeader, "true")
	}
	w.WriteHeader(reply.Status)
	// A caller that is gone needs no answer.
	_, _ = w.Write(reply.Body)
}
