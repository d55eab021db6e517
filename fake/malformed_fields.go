package fake

import "fmt"

// MalformedFields returns responses that look like successes but for the name of a field.
func MalformedFields(fields, body string) []RawResponse {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const line = "HTTP/1.1 200 OK\r\n"
	var responses []RawResponse
	add := func(name, text string) { responses = append(responses, RawResponse{Name: name, Text: text}) }
	addTrailer := func(name, trailer string) {
		text := fmt.Sprintf("%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", line, fields, len(body), body, trailer)
		responses = append(responses, RawResponse{Name: name, Text: text, HasTrailer: true})
	}
	for _, field := range []string{
		"X A: b\r\n", "X-A : b\r\n", "X-A\t: b\r\n", "X\x01A: b\r\n", "X-A\x00: b\r\n", "X-A\x7f: b\r\n", "\x0bX-A: b\r\n", "X\rA: b\r\n", ": b\r\n", "X-\xe4: b\r\n", "X(A): b\r\n", "X-A\r\n",
		"Content-Length : 5\r\n", "Transfer-Encoding : chunked\r\n", "Connection : close\r\n",
	} {
		add(fmt.Sprintf("%q first", field), line+field+fields+length+"\r\n"+body)
		add(fmt.Sprintf("%q last", field), line+fields+length+field+"\r\n"+body)
		add(fmt.Sprintf("%q in HTTP/1.0", field), "HTTP/1.0 200 OK\r\n"+fields+field+"\r\n"+body)
		add(fmt.Sprintf("%q in an informational response", field), "HTTP/1.1 103 Early Hints\r\nLink: a\r\n"+field+"\r\n"+line+fields+length+"\r\n"+body)
		addTrailer(fmt.Sprintf("%q in a trailer", field), "X-B: c\r\n"+field)
		addTrailer(fmt.Sprintf("%q first in a trailer", field), field+"X-B: c\r\n")
	}
	add("blank before the first field", line+" X-A: b\r\n"+fields+length+"\r\n"+body)
	addTrailer("blank before the first field of a trailer", " X-A: b\r\n")
	part := body[:min(5, len(body))]
	add("length with a blank in its name, a part of the body", line+fields+fmt.Sprintf("Content-Length : %d\r\n\r\n", len(body))+part)
	add("length behind a blank, a part of the body", line+fields+fmt.Sprintf("X-A: b\r\n Content-Length: %d\r\n\r\n", len(body))+part)
	add("length between blanks, a part of the body", line+fields+fmt.Sprintf("X-A: b\r\n Content-Length : %d\r\n\r\n", len(body))+part)
	add("chunks with a blank in their name", line+fields+"Transfer-Encoding : chunked\r\n\r\n5\r\n"+part+"\r\n")
	add("chunks behind a blank", line+fields+"X-A: b\r\n\ttransfer-encoding: chunked\r\n\r\n5\r\n"+part+"\r\n")
	return responses
}
