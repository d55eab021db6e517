package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/spec"
)

// maxKeyLength is the maximum length of the Idempotency-Key header, in bytes.
const maxKeyLength = 255

// actionKey derives an action's idempotency key from the body fields that the
// service document names, or else from the caller's header.
func actionKey(call spec.Call, header, path string, body []byte) (ident.IdempotencyKey, *fault.Refusal) {
	sum := sha256.New()
	if len(call.KeyFields) > 0 {
		writeParts(sum, "fields", call.Match, path)
		return fieldKey(sum, call.KeyFields, body)
	}
	if header == "" {
		return "", fault.New(fault.KeyRequired, "this call runs at most once and needs an %s header", keyHeader)
	}
	if len(header) > maxKeyLength {
		return "", fault.New(fault.KeyRequired, "the %s header is longer than %d bytes", keyHeader, maxKeyLength)
	}
	writeParts(sum, "header", call.Match, header)
	return digestKey(sum), nil
}

func fieldKey(sum hash.Hash, names []string, body []byte) (ident.IdempotencyKey, *fault.Refusal) {
	fields, refusal := parseFields(body)
	if refusal != nil {
		return "", refusal
	}
	for _, name := range names {
		value, ok := fields[name]
		if !ok {
			return "", fault.New(fault.BadRequest, "the body lacks the field %q that identifies the action", name)
		}
		writeParts(sum, name, canonicalJSON(value))
	}
	return digestKey(sum), nil
}

// actionDigest detects that a key is reused for a different call. Fields that
// the document ignores don't count, nor do the order and spacing of a JSON
// object.
func actionDigest(call spec.Call, method, path string, body []byte) ident.Digest {
	sum := sha256.New()
	writeParts(sum, method, path)
	fields, refusal := parseFields(body)
	if refusal != nil {
		writeParts(sum, string(body))
		return ident.Digest(hex.EncodeToString(sum.Sum(nil)))
	}
	for _, name := range call.IgnoreFields {
		delete(fields, name)
	}
	writeParts(sum, canonicalJSON(fields))
	return ident.Digest(hex.EncodeToString(sum.Sum(nil)))
}

func parseFields(body []byte) (map[string]any, *fault.Refusal) {
	fields := map[string]any{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fault.New(fault.MalformedJSON, "%v", err)
	}
	return fields, nil
}

// canonicalJSON encodes a JSON value with sorted keys.
func canonicalJSON(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

// writeParts prefixes each part with its length, so that two different lists of
// parts never hash the same input.
func writeParts(sum hash.Hash, parts ...string) {
	for _, part := range parts {
		_, _ = fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
}

func digestKey(sum hash.Hash) ident.IdempotencyKey {
	return ident.IdempotencyKey(hex.EncodeToString(sum.Sum(nil)[:16]))
}
