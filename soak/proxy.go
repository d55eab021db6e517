package main

import (
	"context"
	"net"
	"sync"
	"time"

	"crocusstep/socket"
)

// harm is what a proxy does to the bytes that pass.
type harm struct {
	// delay holds every piece up.
	delay time.Duration
	// mute drops bytes, in one direction or both.
	muteThere, muteBack bool
	// refuse resets new connections.
	refuse bool
}

// proxy carries connections to one address and can harm them from outside.
type proxy struct {
	target   string
	listener net.Listener

	mutex sync.Mutex
	harm  harm
	conns map[net.Conn]bool
}

func newProxy(ctx context.Context, listen, target string) (*proxy, error) {
	listener, err := socket.Listen(ctx, listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.accept(ctx)
	return p, nil
}

func (p *proxy) set(h harm) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.harm = h
}

func (p *proxy) now() harm {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.harm
}

// reset ends all connections with a reset.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.conns {
		abort(c)
	}
	clear(p.conns)
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// An orderly close is the next best.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept(ctx context.Context) {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now().refuse {
			abort(near)
			continue
		}
		far, err := socket.Dial(ctx, "tcp", p.target)
		if err != nil {
			abort(near)
			continue
		}
		p.mutex.Lock()
		p.conns[near], p.conns[far] = true, true
		p.mutex.Unlock()
		go p.carry(far, near, func(h harm) bool { return h.muteThere })
		go p.carry(near, far, func(h harm) bool { return h.muteBack })
	}
}

// carry copies one direction. What is muted is lost for good, as is the
// connection: later bytes would leave a hole.
func (p *proxy) carry(to, from net.Conn, muted func(harm) bool) {
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		h := p.now()
		time.Sleep(h.delay)
		if n > 0 && muted(h) {
			lost = true
		}
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			if !lost {
				_ = to.Close()
			}
			p.mutex.Lock()
			delete(p.conns, from)
			p.mutex.Unlock()
			return
		}
	}
}
