package entry

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/spec"
)

func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request, _ ident.RequestID, _ httprouter.Params) {
	list := modelList{Object: "list", Data: []modelRow{}}
	for _, found := range e.docs.All() {
		if found.Document.Kind == spec.LanguageModel {
			list.Data = append(list.Data, modelRow{
				ID:      found.Document.Service,
				Object:  "model",
				OwnedBy: found.Document.Workspace,
			})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, request ident.RequestID, _ httprouter.Params) {
	arrived := time.Now()
	body, refusal := e.readBody(w, r, int64(e.config.MaxBody))
	if refusal != nil {
		e.refuse(w, request, refusal)
		return
	}
	order, refusal := parseChat(body)
	if refusal != nil {
		e.refuse(w, request, refusal)
		return
	}
	run, refusal := e.newChatRun(request, order, len(body), arrived)
	if refusal != nil {
		e.refuse(w, request, refusal)
		return
	}
	run.sink = e.newSink(w, run, order.Stream)
	run.serve(r.Context())
}

func (e *Entry) newSink(w http.ResponseWriter, run *chatRun, stream bool) chatSink {
	if !stream {
		return &plainSink{w: w, request: run.request, model: run.document.Service, created: run.arrived}
	}
	return &eventSink{
		w:          w,
		controller: http.NewResponseController(w),
		timeout:    e.config.WriteTimeout,
		request:    run.request,
		model:      run.document.Service,
		created:    run.arrived,
	}
}

// newChatRun checks a request against its service's document.
func (e *Entry) newChatRun(request ident.RequestID, order chatOrder, size int, arrived time.Time) (*chatRun, *fault.Refusal) {
	found, refusal := e.find(order.Model)
	if refusal != nil {
		return nil, refusal
	}
	document := found.Document
	prompt := order.prompt()
	tokens := estimateTokens(prompt)
	switch {
	case document.Kind != spec.LanguageModel:
		return nil, fault.New(fault.UnknownService, "%q is not a language model", order.Model)
	case size > int(document.Limits.BodySize):
		return nil, fault.New(fault.BodyTooLarge, "the body is longer than %s", document.Limits.BodySize)
	case tokens > document.Limits.PromptTokens:
		return nil, fault.New(fault.PromptTooLong, "the prompt has about %d tokens, %d are allowed", tokens, document.Limits.PromptTokens)
	}
	maxTokens := document.Limits.OutputTokens
	if order.MaxTokens > 0 {
		maxTokens = min(maxTokens, order.MaxTokens)
	}
	return newChatRun(e, request, document, prompt, tokens, maxTokens, arrived), nil
}
