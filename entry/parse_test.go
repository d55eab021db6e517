package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/fault"
	"crocusstep/spec"
)

func TestActionKey(t *testing.T) {
	byFields := spec.Call{Match: "POST /renewals", Class: spec.Action, KeyFields: []string{"permit", "period"}, IgnoreFields: []string{"sent-at"}}
	byHeader := spec.Call{Match: "POST /unlock", Class: spec.Action}
	same := func(a, b string, call spec.Call) (keys, digests bool) {
		first, refusal := actionKey(call, "k1", "/renewals", []byte(a))
		assert.Assert(t, refusal == nil)
		second, refusal := actionKey(call, "k2", "/renewals", []byte(b))
		assert.Assert(t, refusal == nil)
		return first == second, actionDigest(call, "POST", "/renewals", []byte(a)) == actionDigest(call, "POST", "/renewals", []byte(b))
	}
	scenarios := []struct {
		testName      string
		a, b          string
		call          spec.Call
		keys, digests bool
	}{
		{"the same renewal with another header key and time", `{"permit":"7","period":"1","sent-at":1}`, `{"sent-at":2, "period":"1","permit":"7"}`, byFields, true, true},
		{"the same renewal with another body", `{"permit":"7","period":"1","fee":1}`, `{"permit":"7","period":"1","fee":2}`, byFields, true, false},
		{"a different renewal", `{"permit":"7","period":"1"}`, `{"permit":"7","period":"2"}`, byFields, false, false},
		{"key fields are not concatenated ambiguously", `{"permit":"71","period":"1"}`, `{"permit":"7","period":"11"}`, byFields, false, false},
		{"different header keys", `{}`, `{}`, byHeader, false, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			keys, digests := same(s.a, s.b, s.call)
			assert.Equal(t, keys, s.keys)
			assert.Equal(t, digests, s.digests)
		})
	}
	_, refusal := actionKey(byHeader, "", "/unlock", nil)
	assert.Equal(t, refusal.Code, fault.KeyRequired)
}

func FuzzParseChatRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, refusal := parseChatRequest(body)
		if refusal != nil {
			assert.Equal(t, refusal.Outcome, fault.NotExecuted)
			return
		}
		assert.Assert(t, chat.Model != "" && len(chat.Messages) > 0 && estimateTokens(chat.prompt()) > 0)
	})
}

func FuzzActionDigest(f *testing.F) {
	f.Add([]byte(`{"a":1,"t":2}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		call := spec.Call{Match: "POST /a", Class: spec.Action, KeyFields: []string{"a"}, IgnoreFields: []string{"t"}}
		assert.Equal(t, actionDigest(call, "POST", "/a", body), actionDigest(call, "POST", "/a", body))
		_, _ = actionKey(call, "", "/a", body)
	})
}
