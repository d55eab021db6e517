// Package memnet is an in-memory network for tests: every process of the
// system runs in one test process, in virtual time, and links can be cut.
package memnet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Host names one process on the network.
type Host string

// Network connects hosts by addresses. Its zero value is not usable.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*listener
	// conns holds both ends of every open connection by the hosts they join.
	conns map[*conn]bool
	// partitions holds pairs of hosts that cannot reach each other.
	partitions map[[2]Host]bool
	// incarnations counts the kills of each host: what a killed process left running
	// in this one must not dial any more.
	incarnations map[Host]int
	// latency is the one-way delay that a new connection pays in each
	// direction of its handshake.
	latency func(from, to Host) time.Duration
}

// dialTimeout is how long a dial to a silent host takes.
const dialTimeout = time.Second

// errRefused is what dialling a silent address returns.
var errRefused = errors.New("connection refused")

// NewNetwork returns an empty network without latency.
func NewNetwork() *Network {
	return &Network{
		listeners:    map[string]*listener{},
		conns:        map[*conn]bool{},
		partitions:   map[[2]Host]bool{},
		incarnations: map[Host]int{},
		latency:      func(Host, Host) time.Duration { return 0 },
	}
}

// SetLatency sets the one-way delay between hosts.
func (n *Network) SetLatency(latency func(from, to Host) time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.latency = latency
}

// Listen opens an address on a host.
func (n *Network) Listen(host Host, address string) net.Listener {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := &listener{network: n, host: host, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Client returns an HTTP client whose connections start at the host.
func (n *Network) Client(host Host) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         n.Dialer(host),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}}
}

// Dialer returns a dial function for connections that start at the host.
func (n *Network) Dialer(host Host) func(context.Context, string, string) (net.Conn, error) {
	n.mutex.Lock()
	incarnation := n.incarnations[host]
	n.mutex.Unlock()
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		if !n.alive(host, incarnation) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
		}
		connection, err := n.dial(ctx, host, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		return connection, nil
	}
}

// alive reports whether a host has not been killed since a life of it began.
func (n *Network) alive(host Host, incarnation int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.incarnations[host] == incarnation
}

func (n *Network) dial(ctx context.Context, host Host, address string) (net.Conn, error) {
	n.mutex.Lock()
	target, listening := n.listeners[address]
	var delay time.Duration
	if listening {
		delay = 2 * n.latency(host, target.host)
	}
	partitioned := listening && n.partitions[pair(host, target.host)]
	n.mutex.Unlock()
	if !listening {
		return nil, errRefused
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if partitioned {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	return n.connect(ctx, host, target)
}

func (n *Network) connect(ctx context.Context, host Host, target *listener) (net.Conn, error) {
	near, far := net.Pipe()
	hosts := pair(host, target.host)
	local := &conn{Conn: near, network: n, hosts: hosts, from: host}
	remote := &conn{Conn: far, network: n, hosts: hosts, from: target.host}
	select {
	case target.accepted <- remote:
	case <-target.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[local] = true
	n.conns[remote] = true
	return local, nil
}

// Kill closes every listener and connection of a host at once, as the kernel
// does for a process that was killed.
func (n *Network) Kill(host Host) {
	n.mutex.Lock()
	n.incarnations[host]++
	n.mutex.Unlock()
	for _, c := range n.remove(func(l *listener) bool { return l.host == host }, func(c *conn) bool {
		return c.hosts[0] == host || c.hosts[1] == host
	}) {
		_ = c.Conn.Close()
	}
}

// Partition separates two hosts. Open connections between them break, as they do
// once the kernel's user timeout has passed; new ones hang until they time out.
func (n *Network) Partition(a, b Host) {
	n.mutex.Lock()
	n.partitions[pair(a, b)] = true
	n.mutex.Unlock()
	for _, c := range n.remove(func(*listener) bool { return false }, func(c *conn) bool { return c.hosts == pair(a, b) }) {
		_ = c.Conn.Close()
	}
}

// Heal joins two hosts again.
func (n *Network) Heal(a, b Host) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.partitions, pair(a, b))
}

func (n *Network) remove(listening func(*listener) bool, connected func(*conn) bool) []*conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for address, l := range n.listeners {
		if listening(l) {
			delete(n.listeners, address)
			l.close()
		}
	}
	var removed []*conn
	for c := range n.conns {
		if connected(c) {
			removed = append(removed, c)
			delete(n.conns, c)
		}
	}
	return removed
}

func (n *Network) removeConn(c *conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.conns, c)
}

func pair(a, b Host) [2]Host {
	if a > b {
		a, b = b, a
	}
	return [2]Host{a, b}
}

type conn struct {
	net.Conn
	network *Network
	// hosts is the two hosts in sorted order.
	hosts [2]Host
	from  Host
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.removeConn(c)
	return c.Conn.Close()
}

type listener struct {
	network  *Network
	host     Host
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.mutex.Lock()
	defer l.network.mutex.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	l.close()
	return nil
}

func (l *listener) close() { l.once.Do(func() { close(l.closed) }) }

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "memory" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
