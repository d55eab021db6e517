package client

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/fake"
	"crocusstep/ident"
)

const soundBody = `{"whole":"body"}`

// exchangeRaw sends a request to a server that sends the response as it is, and returns the response
// with its body.
func exchangeRaw(t *testing.T, text string) (response *http.Response, body string, err error) {
	t.Helper()
	server, err := fake.NewRawServer(func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, text)
	})
	assert.NilError(t, err)
	defer server.Close()
	c := NewClient(Config{Dial: new(net.Dialer).DialContext, EchoHeader: "X-Id"})
	defer c.Close()
	response, err = c.Do(t.Context(), ident.Address(server.Address()), &Request{Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{"X-Id": {"mine"}}, Body: []byte("body")})
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	time.AfterFunc(5*time.Second, func() { _ = response.Body.Close() })
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// checkMalformed fails if a malformed response is taken as a response, or as a request that was not
// sent.
func checkMalformed(t *testing.T, responses []fake.RawResponse) {
	t.Helper()
	for _, r := range responses {
		response, body, err := exchangeRaw(t, r.Text)
		if err == nil {
			t.Errorf("%s: taken as status %d, body %q, fields %q", r.Name, response.StatusCode, body, response.Header)
		} else if errors.Is(err, ErrNotSent) {
			t.Errorf("%s: %v", r.Name, err)
		}
	}
}

// TestMalformedStatusLine guards against a response with an invalid status that is taken as a
// response, or skipped so that its body is read as the response.
func TestMalformedStatusLine(t *testing.T) {
	checkMalformed(t, fake.MalformedStatusLines("X-Id: mine\r\n", soundBody))
}

// TestMalformedField guards against a response with a field whose name is no token: what the field
// says is lost, such as the length of the body.
func TestMalformedField(t *testing.T) {
	checkMalformed(t, fake.MalformedFields("X-Id: mine\r\n", soundBody))
}

func TestUnusualSoundResponse(t *testing.T) {
	for _, r := range fake.SoundResponses("X-Id: mine\r\n", soundBody) {
		response, body, err := exchangeRaw(t, r.Text)
		assert.NilError(t, err, r.Name)
		assert.Equal(t, response.StatusCode, r.Status, r.Name)
		assert.Equal(t, body, soundBody, r.Name)
	}
}
