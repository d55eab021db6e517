package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"crocusstep/fault"
	"crocusstep/ident"
)

// callOverhead is about the bytes of the two headers of one call.
const callOverhead = 400

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is where the platform's object API listens.
	Address ident.Address
	// HTTP carries the calls; its transport decides how connections are made.
	HTTP *http.Client
	// Timeout bounds one call, apart from a watch's wait.
	Timeout time.Duration
	// Observe is called once per call with its name and its size in bytes.
	Observe func(call string, size ident.ByteCount)
}

// Client talks to the platform's object API over HTTP. See
// docs/protocols/object-api.md.
type Client struct {
	config ClientConfig
}

// NewClient returns a client for the platform at the configured address.
func NewClient(config ClientConfig) *Client {
	if config.Observe == nil {
		config.Observe = func(string, ident.ByteCount) {}
	}
	return &Client{config: config}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key Key) (object Object, err error) {
	defer fault.Annotate(&err, "get %s", key)
	err = c.read(ctx, "get", objectPath(key), c.config.Timeout, &object)
	return object, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind Kind) (listing Listing, err error) {
	defer fault.Annotate(&err, "list %s", kind)
	err = c.read(ctx, "list", "/objects/"+url.PathEscape(string(kind)), c.config.Timeout, &listing)
	return listing, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind Kind, since Version, wait time.Duration) (batch Batch, err error) {
	defer fault.Annotate(&err, "watch %s since %d", kind, since)
	path := fmt.Sprintf("/objects/%s?watch=true&since=%d&wait=%s", url.PathEscape(string(kind)), since, wait)
	err = c.read(ctx, "watch", path, wait+c.config.Timeout, &batch)
	return batch, err
}

// Instances implements Store.
func (c *Client) Instances(ctx context.Context) (instances []Instance, err error) {
	defer fault.Annotate(&err, "list instances")
	err = c.read(ctx, "instances", "/instances", c.config.Timeout, &instances)
	return instances, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key Key, value []byte, expected Version) (version Version, err error) {
	defer fault.Annotate(&err, "put %s at version %d", key, expected)
	var object Object
	err = c.write(ctx, http.MethodPut, key, value, expected, &object)
	return object.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key Key, expected Version) (err error) {
	defer fault.Annotate(&err, "delete %s at version %d", key, expected)
	return c.write(ctx, http.MethodDelete, key, nil, expected, nil)
}

func (c *Client) read(ctx context.Context, call, path string, timeout time.Duration, target any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(c.config.Address)+path, nil)
	if err != nil {
		return err
	}
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response.StatusCode, ErrUnavailable); err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	c.config.Observe(call, callOverhead+ident.ByteCount(len(body)))
	return json.Unmarshal(body, target)
}

func (c *Client) write(ctx context.Context, method string, key Key, value []byte, expected Version, target any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	address := "http://" + string(c.config.Address) + objectPath(key)
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(value))
	if err != nil {
		return err
	}
	request.Header.Set("If-Match", strconv.FormatInt(int64(expected), 10))
	// The transport must not send a write again by itself: a second sending of
	// one that took effect would come back as a conflict.
	request.GetBody = nil
	c.config.Observe("put", callOverhead+ident.ByteCount(len(value)))
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return writeError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response.StatusCode, ErrAmbiguous); err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Join(ErrAmbiguous, err)
	}
	if target == nil {
		return nil
	}
	return json.Unmarshal(body, target)
}

// writeError tells a write that never left from one whose answer was lost.
func writeError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Join(ErrUnavailable, err)
	}
	return errors.Join(ErrAmbiguous, err)
}

// statusError maps a status to an error. The platform sends 429 and 503 only
// before it touches anything; any other server error may come after a write.
func statusError(status int, serverError error) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusGone:
		return ErrGap
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return ErrUnavailable
	case status >= http.StatusInternalServerError:
		return serverError
	case status >= http.StatusBadRequest:
		return fmt.Errorf("the platform refused the call with status %d", status)
	}
	return nil
}

func objectPath(key Key) string {
	return "/objects/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}
