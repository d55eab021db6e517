package entry

import (
	"net/http"
	"net/url"
	"strconv"
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

// hopHeaders are hop-by-hop or internal headers that are never forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", keyHeader, "Fencing-Token", requestHeader, "Crocusstep-Signature",
}

func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request, request ident.RequestID, params httprouter.Params) {
	exchange, refusal := e.newCallExchange(w, r, request, params)
	if refusal != nil {
		e.writeRefusal(w, request, refusal)
		return
	}
	response, err := exchange.serve(r.Context())
	exchange.recordMetrics(err)
	if err != nil {
		e.writeRefusal(w, request, exchange.refusalFor(err))
		return
	}
	writeResponse(w, r.Method, response)
}

func (e *Entry) newCallExchange(w http.ResponseWriter, r *http.Request, request ident.RequestID, params httprouter.Params) (*callExchange, *fault.Refusal) {
	arrived := time.Now()
	found, refusal := e.findDocument(ident.ServiceName(params.ByName("service")))
	if refusal != nil {
		return nil, refusalWithoutDocument(refusal, r.Method)
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
	exchange := &callExchange{
		Entry:    e,
		request:  request,
		document: document,
		call:     call,
		arrived:  arrived,
		method:   r.Method,
		path:     requestURI(path, r.URL.RawQuery),
		header:   endToEndHeaders(r.Header),
		body:     body,
	}
	if call.Class == spec.Action {
		refusal = exchange.setActionKey(r.Header.Get(keyHeader), path)
	}
	return exchange, refusal
}

// refusalWithoutDocument corrects the outcome for a call whose class is
// unknown: it may be an action that ran in an earlier attempt through another
// entry.
func refusalWithoutDocument(refusal *fault.Refusal, method string) *fault.Refusal {
	adjusted := *refusal
	idempotent := method == http.MethodGet || method == http.MethodHead
	if adjusted.Code != fault.UnknownService && !idempotent {
		adjusted.Outcome = fault.Unknown
	}
	return &adjusted
}

func requestURI(path, query string) string {
	target := url.URL{Path: path, RawQuery: query}
	return target.RequestURI()
}

func endToEndHeaders(header http.Header) http.Header {
	headers := header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		headers.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		headers.Del(name)
	}
	return headers
}

// writeResponse states the length, as else only the end of the connection may show the end of the
// body.
func writeResponse(w http.ResponseWriter, method string, response wire.CallResponse) {
	for name, values := range endToEndHeaders(response.Header) {
		w.Header()[name] = values
	}
	if response.Replayed {
		w.Header().Set(replayedHeader, "true")
	}
	if response.Truncated {
		w.Header().Set(truncatedHeader, "true")
	}
	if method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(response.Body)
}
