package reply

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

const (
	// maxInformationalBytes bounds the informational responses before a response, which may come as
	// long as the request is processed.
	maxInformationalBytes = 64 << 10
	// lineBytes is the size of a status line, or of what a field has besides its name and value.
	lineBytes = 16
)

var errInformational = errors.New("too many informational responses")

// headBytes returns the approximate size of a head.
func headBytes(header http.Header) int {
	size := lineBytes
	for name, values := range header {
		for _, value := range values {
			size += lineBytes + len(name) + len(value)
		}
	}
	return size
}

// Client returns an HTTP client like the given one that returns an error for malformed responses.
func Client(c *http.Client) *http.Client {
	base := c.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	if _, checks := base.(*transport); checks {
		return c
	}
	checked := *c
	checked.Transport = &transport{base: base}
	return &checked
}

// transport checks the responses of another transport.
type transport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	informational := 0
	var recorder HeadRecorder
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, records := info.Conn.(HeadRecorder); records {
				c.RecordHead()
				recorder = c
			}
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			// The transport limits the size of each head, but not that of all.
			if informational += headBytes(http.Header(header)); informational > maxInformationalBytes {
				return errInformational
			}
			return checkInformational(http.Header(header), nil)
		},
	}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		var syntax textproto.ProtocolError
		if errors.As(err, &syntax) {
			err = Malformed(FlawSyntax, err)
		}
		return nil, err
	}
	err = CheckHead(response)
	if recorder != nil {
		if record := recorder.RecordedHead(); err == nil {
			err = checkRecord(response, record)
		}
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// chunkedBody is the body of a response that may have a trailer.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, CheckEnd(b.response, err)
}

// CheckEnd returns the error of a read from the body of a response, and another one at its end if the
// trailer is malformed.
func CheckEnd(r *http.Response, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if flaw := CheckFields(r.Trailer); flaw != nil {
		return flaw
	}
	return err
}

// CloseIdleConnections closes the connections that are not in use.
func (t *transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
