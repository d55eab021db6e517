// Package client is an HTTP/1.1 client for endpoints with a connection pool. It sends
// requests unchanged, byte for byte, never retries them, and reports for each error
// whether the endpoint may have received the request.
package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"crocusstep/ident"
)

const (
	// dialTimeout bounds the opening of a connection. Regions are 24 ms apart, and a lost
	// SYN packet is resent only after a second.
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout applies if the endpoint sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout, so that no request is sent
	// while the endpoint closes the connection.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxResponseReads bounds the responses that are read for one request, including those
	// to earlier requests, which are skipped.
	maxResponseReads = 3
	// maxHeadBytes bounds the heads of all responses that are read for one request,
	// including informational ones.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

var (
	// ErrNotSent means that the endpoint cannot have received the request.
	ErrNotSent = errors.New("the request was not sent")
	// ErrResponseLost means that the request was sent and no complete response was
	// received, so that the endpoint may have executed it.
	ErrResponseLost = errors.New("the response was lost")
	// ErrMaxConns means that all connections allowed to the endpoint are in use.
	ErrMaxConns = errors.New("all connections to the endpoint are in use")
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Client.
type Config struct {
	Dial DialFunc
	// EchoHeader is a header that endpoints copy from the request to the response. A
	// response with another value belongs to another request. Requests with equal values
	// are sent on different connections, so that a value identifies one request on each.
	EchoHeader string
}

// Client is an HTTP/1.1 client with a pool of connections to each endpoint. It is safe for
// concurrent use.
type Client struct {
	config Config

	mutex sync.Mutex
	hosts map[ident.Address]*hostConns
}

// hostConns holds the connections to one address.
type hostConns struct {
	// idle is ordered by the time of last use, the newest last.
	idle []*conn
	// open counts idle and active connections; it never exceeds maxOpen, unless that is
	// zero.
	open    int
	maxOpen int
}

// NewClient returns a client without open connections.
func NewClient(config Config) *Client {
	return &Client{config: config, hosts: map[ident.Address]*hostConns{}}
}

// SetMaxConns limits the connections to an address; zero means no limit.
func (c *Client) SetMaxConns(address ident.Address, maxOpen int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.host(address).maxOpen = maxOpen
}

// CloseIdle closes the idle connections to an address, after its endpoint was removed.
func (c *Client) CloseIdle(address ident.Address) {
	c.mutex.Lock()
	h, ok := c.hosts[address]
	var idle []*conn
	if ok {
		idle, h.idle = h.idle, nil
		h.open -= len(idle)
		if h.open == 0 {
			delete(c.hosts, address)
		}
	}
	c.mutex.Unlock()
	for _, k := range idle {
		_ = k.Close()
	}
}

func (c *Client) host(address ident.Address) *hostConns {
	h, ok := c.hosts[address]
	if !ok {
		h = &hostConns{}
		c.hosts[address] = h
	}
	return h
}

// Do sends a request and returns its response, whose body must be closed. The context
// covers the whole exchange, including the body. An error joins ErrNotSent or
// ErrResponseLost.
func (c *Client) Do(ctx context.Context, address ident.Address, r *Request) (response *http.Response, err error) {
	k, err := c.acquire(ctx, address, r.Header.Get(c.config.EchoHeader))
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	cancelAbort := context.AfterFunc(ctx, k.abort)
	response, err = k.roundTrip(ctx, r, c.config.EchoHeader)
	if err != nil {
		cancelAbort()
		c.discard(address, k)
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response, client: c, address: address, conn: k, cancelAbort: cancelAbort}
	return response, nil
}

// acquire returns an idle connection that is still usable and has not carried a request with
// the id, or a new one.
func (c *Client) acquire(ctx context.Context, address ident.Address, id string) (*conn, error) {
	for {
		k, err := c.reserve(address)
		if err != nil {
			return nil, err
		}
		if k == nil {
			break
		}
		if k.usable(time.Now()) && !k.hasCarried(id) {
			return k, nil
		}
		c.discard(address, k)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.config.Dial(ctx, "tcp", string(address))
	if err != nil {
		c.release(address)
		return nil, err
	}
	return newConn(raw), nil
}

// reserve removes the newest idle connection from the pool and returns it. If none is idle,
// it counts a new connection, which the caller must open, and returns nil.
func (c *Client) reserve(address ident.Address) (*conn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.host(address)
	if n := len(h.idle); n > 0 {
		k := h.idle[n-1]
		h.idle = h.idle[:n-1]
		return k, nil
	}
	if h.maxOpen > 0 && h.open >= h.maxOpen {
		return nil, ErrMaxConns
	}
	h.open++
	return nil, nil
}

// release stops counting a connection that was closed or not opened.
func (c *Client) release(address ident.Address) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if h, ok := c.hosts[address]; ok {
		h.open--
	}
}

// discard aborts a connection and removes it from the count.
func (c *Client) discard(address ident.Address, k *conn) {
	k.abort()
	c.release(address)
}

// putIdle returns a connection to the pool.
func (c *Client) putIdle(address ident.Address, k *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.host(address)
	h.idle = append(h.idle, k)
}

// CloseExpired closes the connections whose idle timeout has passed.
func (c *Client) CloseExpired(now time.Time) {
	c.mutex.Lock()
	var expired []*conn
	for _, h := range c.hosts {
		remaining := h.idle[:0]
		for _, k := range h.idle {
			if now.After(k.expires) {
				expired = append(expired, k)
				h.open--
				continue
			}
			remaining = append(remaining, k)
		}
		h.idle = remaining
	}
	c.mutex.Unlock()
	for _, k := range expired {
		_ = k.Close()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.CloseExpired(time.Now().Add(24 * time.Hour))
}
