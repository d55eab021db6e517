package fake

import (
	"fmt"
	"strings"
)

// RawResponse is a response as sent.
type RawResponse struct {
	Name, Text string
	// HasTrailer is set if what is malformed comes behind the body.
	HasTrailer bool
	// Status is zero for a malformed response.
	Status int
}

// MalformedStatusLines returns responses that look like successes but for the status line. Fields
// are those of a success, each with its CRLF.
func MalformedStatusLines(fields, body string) []RawResponse {
	head := fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	success := "HTTP/1.1 200 OK\r\n" + head + body
	var responses []RawResponse
	add := func(name, text string) { responses = append(responses, RawResponse{Name: name, Text: text}) }
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 000", "HTTP/1.0 000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 ", "HTTP/1.1 OK", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTQ/1.1 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\rX-A: b", "HTTP/1.1 200 \x7f",
	} {
		add(fmt.Sprintf("%q", line), line+"\r\n"+head+body)
	}
	lookalike := fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(success)) + success
	add("000 with a body that looks like a response", "HTTP/1.1 000 OK\r\n"+lookalike)
	add("000 without a length before a response", "HTTP/1.1 000 OK\r\n\r\n"+success)
	add("informational with a body that looks like a response", "HTTP/1.1 103 Early Hints\r\n"+lookalike)
	add("protocol switched unasked", "HTTP/1.1 101 Switching Protocols\r\n\r\n"+success)
	add("000 after an informational response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n"+head+body)
	return responses
}

// MalformedFraming returns responses with HTTP/1.0 that look like successes but for a transfer encoding.
func MalformedFraming(fields, body string) []RawResponse {
	text := fmt.Sprintf("HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(body), body)
	return []RawResponse{
		{Name: "chunks in HTTP/1.0", Text: text},
		{Name: "chunks in HTTP/1.0 after an informational response", Text: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + text},
		{Name: "chunks in HTTP/1.0, lines end with LF", Text: strings.ReplaceAll(text, "\r\n", "\n")},
	}
}

// SoundResponses returns successes that are unusual and allowed.
func SoundResponses(fields, body string) []RawResponse {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	return []RawResponse{
		{Name: "length", Status: 200, Text: "HTTP/1.1 200 OK\r\n" + fields + length + "\r\n" + body},
		{Name: "no reason", Status: 200, Text: "HTTP/1.1 200\r\n" + fields + length + "\r\n" + body},
		{Name: "reason of other bytes", Status: 200, Text: "HTTP/1.1 200 \xe4\tok \xff\r\n" + fields + length + "\r\n" + body},
		{Name: "unknown status", Status: 299, Text: "HTTP/1.1 299 Odd\r\n" + fields + length + "\r\n" + body},
		{Name: "unusual names", Status: 200, Text: "HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~9: b\r\nx_a:b\r\n9: c\r\nX-Empty:\r\n" + fields + length + "\r\n" + body},
		{Name: "folded lines", Status: 200, Text: "HTTP/1.1 200 OK\r\nX-A: b\r\n c: d\r\nX-B:\r\n http://a\r\n" + fields + "Content-Length:\r\n " + fmt.Sprint(len(body)) + "\r\n\r\n" + body},
		{Name: "informational responses", Status: 200, Text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 199 Odd\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + length + "\r\n" + body},
		{Name: "chunks and a trailer", Status: 200, Text: "HTTP/1.1 200 OK\r\n" + fields + fmt.Sprintf("Trailer: X-C\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-C: d\r\n\r\n", len(body), body)},
		{Name: "no length", Status: 200, Text: "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body},
		{Name: "no length in HTTP/1.0", Status: 200, Text: "HTTP/1.0 200 OK\r\n" + fields + "\r\n" + body},
	}
}
