package main

import (
	"context"
	"net"
	"sync"
	"time"

	"crocusstep/socket"
)

// impairment is a set of network faults that a proxy injects.
type impairment struct {
	// delay is added before each chunk is forwarded.
	delay time.Duration
	// dropRequests and dropResponses discard the bytes of one direction.
	dropRequests, dropResponses bool
	// refuse resets new connections.
	refuse bool
}

// proxy forwards TCP connections to one address and can impair them.
type proxy struct {
	target   string
	listener net.Listener

	mutex      sync.Mutex
	impairment impairment
	conns      map[net.Conn]bool
}

func newProxy(ctx context.Context, listen, target string) (*proxy, error) {
	listener, err := socket.Listen(ctx, listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.acceptLoop(ctx)
	return p, nil
}

func (p *proxy) setImpairment(i impairment) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.impairment = i
}

func (p *proxy) currentImpairment() impairment {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.impairment
}

// resetConns resets all open connections.
func (p *proxy) resetConns() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
	clear(p.conns)
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// If linger can't be set, the connection is closed gracefully instead.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) acceptLoop(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentImpairment().refuse {
			resetConn(client)
			continue
		}
		upstream, err := socket.Dial(ctx, "tcp", p.target)
		if err != nil {
			resetConn(client)
			continue
		}
		p.mutex.Lock()
		p.conns[client], p.conns[upstream] = true, true
		p.mutex.Unlock()
		go p.forward(upstream, client, func(i impairment) bool { return i.dropRequests })
		go p.forward(client, upstream, func(i impairment) bool { return i.dropResponses })
	}
}

// forward copies one direction of a connection. Once it has dropped a chunk it forwards
// nothing more, as the receiver would see a gap in the byte stream.
func (p *proxy) forward(dst, src net.Conn, drops func(impairment) bool) {
	buffer := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := src.Read(buffer)
		i := p.currentImpairment()
		time.Sleep(i.delay)
		if n > 0 && drops(i) {
			dropped = true
		}
		if n > 0 && !dropped {
			if _, err := dst.Write(buffer[:n]); err != nil {
				resetConn(src)
				return
			}
		}
		if err != nil {
			if !dropped {
				_ = dst.Close()
			}
			p.mutex.Lock()
			delete(p.conns, src)
			p.mutex.Unlock()
			return
		}
	}
}
