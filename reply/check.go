// Package reply checks the responses of other processes before anything is taken from them. The
// parser of net/http accepts responses that HTTP does not allow.
package reply

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
)

const (
	// minStatus and maxStatus bound the valid status codes (RFC 9110, 15).
	minStatus, maxStatus = 100, 599
	// maxQuotedBytes limits what an error quotes of a response.
	maxQuotedBytes = 80
)

// Flaw is the kind of fault that makes a response malformed.
type Flaw string

const (
	// FlawStatusLine means that the status line is invalid.
	FlawStatusLine Flaw = "status-line"
	// FlawField means that the name of a field is no token.
	FlawField Flaw = "field-name"
	// FlawFraming means that the fields contradict the extent of the message.
	FlawFraming Flaw = "framing"
	// FlawSyntax means that the response could not be parsed.
	FlawSyntax Flaw = "syntax"
)

// Flaws returns all kinds of faults.
func Flaws() []Flaw { return []Flaw{FlawStatusLine, FlawField, FlawFraming, FlawSyntax} }

// malformed counts the malformed responses that this process has received.
var malformed = newCounters()

func newCounters() map[Flaw]*atomic.Int64 {
	counters := map[Flaw]*atomic.Int64{}
	for _, f := range Flaws() {
		counters[f] = &atomic.Int64{}
	}
	return counters
}

// Count returns how many responses with a fault this process has received.
func Count(f Flaw) int64 { return malformed[f].Load() }

// MalformedError means that a response is malformed, so that nothing in it can be trusted. The
// request may have been executed.
type MalformedError struct {
	Flaw   Flaw
	Reason error
}

// Malformed returns an error for a response with a fault, and counts it.
func Malformed(f Flaw, reason error) error {
	malformed[f].Add(1)
	return &MalformedError{Flaw: f, Reason: reason}
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response (%s): %v", e.Flaw, e.Reason)
}

// Unwrap returns the reason.
func (e *MalformedError) Unwrap() error { return e.Reason }

// quote returns a part of a response for an error.
func quote(text string) string { return fmt.Sprintf("%.*q", maxQuotedBytes, text) }

// CheckHead returns an error if the head of a response, which may be informational, is malformed.
func CheckHead(r *http.Response) error {
	switch {
	case r.Proto != "" && r.ProtoMajor != 1:
		return Malformed(FlawStatusLine, fmt.Errorf("the version is %s", quote(r.Proto)))
	case !isValid(r.StatusCode):
		return Malformed(FlawStatusLine, fmt.Errorf("the status is %s", quote(r.Status)))
	case strings.ContainsFunc(r.Status, isControl):
		return Malformed(FlawStatusLine, fmt.Errorf("a control byte in %s", quote(r.Status)))
	case r.StatusCode == http.StatusSwitchingProtocols:
		return Malformed(FlawStatusLine, errors.New("the protocol was switched without a request for it"))
	case r.StatusCode < http.StatusOK:
		return checkInformational(r.Header, r.TransferEncoding)
	}
	return CheckFields(r.Header)
}

// CheckFields returns an error unless the names of all fields, which may be those of a trailer, are
// tokens. The parser of net/http keeps a name with a blank as it is, so that a Content-Length with a
// blank is none.
func CheckFields(header http.Header) error {
	for name, values := range header {
		if name == "" || strings.ContainsFunc(name, isNoToken) {
			return Malformed(FlawField, fmt.Errorf("a field has the name %s", quote(name)))
		}
		for _, value := range values {
			if hidesFraming(value) {
				return Malformed(FlawFraming, fmt.Errorf("the line of a field that states the extent of the body begins with a blank: %s", quote(value)))
			}
		}
	}
	return nil
}

// isNoToken reports whether a character must not occur in a token (RFC 9110, 5.6.2).
func isNoToken(c rune) bool {
	isAlphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	return !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// framingField matches a field that states the extent of the body.
var framingField = regexp.MustCompile(`(?i)(^|[ \t])(content-length|transfer-encoding)[ \t]*:`)

// hidesFraming reports whether a value holds a field that states the extent of the body: a line that
// begins with a blank continues the value of the line before it.
func hidesFraming(value string) bool {
	return strings.Contains(value, ":") && framingField.MatchString(value)
}

// CheckStatus returns an error unless a status is valid for the response to a request, which is not
// informational.
func CheckStatus(status int) error {
	if !isValid(status) || status < http.StatusOK {
		return Malformed(FlawStatusLine, fmt.Errorf("the status is %d", status))
	}
	return nil
}

func isValid(status int) bool { return status >= minStatus && status <= maxStatus }

// isControl reports whether a character must not occur in a status line.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == '\x7f' }

// checkInformational returns an error if an informational response states the extent of a body, as
// it has none: what follows would be read as the next response.
func checkInformational(header http.Header, transferEncoding []string) error {
	if _, stated := header["Content-Length"]; stated || len(transferEncoding) > 0 {
		return Malformed(FlawFraming, errors.New("an informational response states a body"))
	}
	return CheckFields(header)
}
