package entry

import (
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/intake"
	"crocusstep/spec"
)

func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request, _ ident.RequestID, _ httprouter.Params) {
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, found := range e.docs.All() {
		if found.Document.Kind == spec.LanguageModel {
			list.Data = append(list.Data, modelInfo{
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
		e.writeRefusal(w, request, refusal)
		return
	}
	if err := intake.Hold(r, decodedSize(body)); err != nil {
		e.writeRefusal(w, request, e.refuseDecoding(err, len(body)))
		return
	}
	chat, refusal := parseChatRequest(body)
	if refusal != nil {
		e.writeRefusal(w, request, refusal)
		return
	}
	exchange, refusal := e.newChatExchange(request, chat, len(body), arrived)
	if refusal != nil {
		e.writeRefusal(w, request, refusal)
		return
	}
	exchange.writer = e.newChatWriter(w, exchange, chat.Stream)
	exchange.serve(r.Context())
}

// refuseDecoding refuses a chat for which there is no memory once it is decoded.
func (e *Entry) refuseDecoding(err error, size int) *fault.Refusal {
	if errors.Is(err, intake.ErrOverloaded) {
		return e.refuseForMemory()
	}
	return fault.New(fault.BodyTooLarge, "the entry has too little memory for the messages of a body of %d bytes", size)
}

func (e *Entry) newChatWriter(w http.ResponseWriter, exchange *chatExchange, stream bool) chatWriter {
	if !stream {
		return &jsonWriter{w: w, request: exchange.request, model: exchange.document.Service, created: exchange.arrived}
	}
	return &sseWriter{
		w:          w,
		controller: http.NewResponseController(w),
		timeout:    e.config.WriteTimeout,
		request:    exchange.request,
		model:      exchange.document.Service,
		created:    exchange.arrived,
	}
}

// newChatExchange checks a request against its service's document.
func (e *Entry) newChatExchange(request ident.RequestID, chat chatRequest, size int, arrived time.Time) (*chatExchange, *fault.Refusal) {
	found, refusal := e.findDocument(chat.Model)
	if refusal != nil {
		return nil, refusal
	}
	document := found.Document
	prompt := chat.prompt()
	tokens := estimateTokens(prompt)
	switch {
	case document.Kind != spec.LanguageModel:
		return nil, fault.New(fault.UnknownService, "%q is not a language model", chat.Model)
	case size > int(document.Limits.BodySize):
		return nil, fault.New(fault.BodyTooLarge, "the body is longer than %s", document.Limits.BodySize)
	case tokens > document.Limits.PromptTokens:
		return nil, fault.New(fault.PromptTooLong, "the prompt has about %d tokens, %d are allowed", tokens, document.Limits.PromptTokens)
	}
	maxTokens := document.Limits.OutputTokens
	if chat.MaxTokens > 0 {
		maxTokens = min(maxTokens, chat.MaxTokens)
	}
	return newChatExchange(e, request, document, prompt, tokens, maxTokens, arrived), nil
}
