// Package memnet implements an in-memory network for tests that run a whole system
// in one process, in virtual time. It simulates latency, partitions and killed
// processes.
package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Host names one process on the network.
type Host string

// Network connects hosts. It is safe for concurrent use; its zero value is not
// usable.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*listener
	// conns holds both ends of every open connection.
	conns map[*conn]bool
	// partitions holds the sorted pairs of hosts that cannot reach each other.
	partitions map[[2]Host]bool
	// silent holds the hosts that send nothing on their connections.
	silent map[Host]bool
	// incarnations counts the kills of each host, so that goroutines that a killed
	// process left behind cannot dial any more.
	incarnations map[Host]int
	// latency returns the one-way delay between two hosts. Only the handshake of a
	// connection is delayed, once in each direction.
	latency func(from, to Host) time.Duration
}

// dialTimeout is the time after which a dial to a partitioned host fails.
const dialTimeout = time.Second

// silencePoll is how often held data is tried again.
const silencePoll = 5 * time.Millisecond

// errRefused means that nothing listens at the address.
var errRefused = errors.New("connection refused")

// NewNetwork returns an empty network without latency.
func NewNetwork() *Network {
	return &Network{
		listeners:    map[string]*listener{},
		conns:        map[*conn]bool{},
		partitions:   map[[2]Host]bool{},
		silent:       map[Host]bool{},
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

// Listen returns a listener for an address of a host.
func (n *Network) Listen(host Host, address string) net.Listener {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l := &listener{network: n, host: host, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Client returns an HTTP client that dials from a host.
func (n *Network) Client(host Host) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         n.Dialer(host),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}}
}

// Dialer returns a dial function for connections from a host. After a kill of the
// host it fails.
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

// alive reports whether an incarnation of a host has not been killed.
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
	remote := &conn{Conn: far, network: n, hosts: hosts, from: target.host, peer: local}
	local.peer = remote
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

// Kill closes all listeners and connections of a host, as the kernel does for a
// killed process.
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

// Silence makes a host accept and read, and send nothing until the silence ends.
func (n *Network) Silence(host Host, silent bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.silent[host] = silent
}

// Mute makes the open connections between the matching hosts silent for good, without a reset: what is
// written to them is lost, and neither end sees the other one close. New connections work.
func (n *Network) Mute(matches func(a, b Host) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for c := range n.conns {
		if matches(c.hosts[0], c.hosts[1]) {
			c.muted.Store(true)
		}
	}
}

// holds reports whether an open connection sends nothing for now.
func (n *Network) holds(c *conn) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.silent[c.from] && n.conns[c]
}

// Partition separates two hosts. It closes the open connections between them, as the
// kernel does after its user timeout; new ones hang until they time out.
func (n *Network) Partition(a, b Host) {
	n.mutex.Lock()
	n.partitions[pair(a, b)] = true
	n.mutex.Unlock()
	for _, c := range n.remove(func(*listener) bool { return false }, func(c *conn) bool { return c.hosts == pair(a, b) }) {
		_ = c.Conn.Close()
	}
}

// Heal ends the partition of two hosts.
func (n *Network) Heal(a, b Host) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.partitions, pair(a, b))
}

// remove closes the matching listeners, and removes and returns the matching
// connections, which the caller closes without holding the lock.
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
	// hosts are the two ends, sorted.
	hosts [2]Host
	from  Host
	// peer is the other end.
	peer *conn
	// resets is set if a close resets the connection; wasReset is set once the peer has
	// done so.
	resets, wasReset atomic.Bool
	// muted is set if what is written is lost.
	muted atomic.Bool

	mutex sync.Mutex
	// held is what was written during a silence; flushing is true while a goroutine sends it, and
	// closes the connection then if closing is true.
	held              []byte
	flushing, closing bool
}

// SetLinger makes Close reset the connection if the time is zero, like that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	c.resets.Store(seconds == 0)
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset.Load() {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return n, err
}

// Write implements net.Conn. While its host is silent, it holds the data back.
func (c *conn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return len(p), nil
	}
	if c.hold(p, false) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// hold keeps data or a close for later if the host is silent, or earlier data is on its way.
func (c *conn) hold(p []byte, closes bool) bool {
	isSilent := c.network.holds(c)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.flushing && !isSilent {
		return false
	}
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	c.held = append(c.held, p...)
	c.closing = c.closing || closes
	return true
}

// flush sends what is held back once the silence has ended.
func (c *conn) flush() {
	for {
		for c.network.holds(c) {
			time.Sleep(silencePoll)
		}
		c.mutex.Lock()
		data, closing := c.held, c.closing
		c.held = nil
		c.flushing = len(data) > 0
		c.mutex.Unlock()
		if len(data) > 0 {
			if _, err := c.Conn.Write(data); err == nil {
				continue
			}
		}
		if closing {
			_ = c.closeNow()
		}
		return
	}
}

// Close implements net.Conn. While its host is silent, or once the connection is muted, the other end doesn't see it.
func (c *conn) Close() error {
	if c.muted.Load() || c.hold(nil, true) {
		return c.SetReadDeadline(time.Unix(1, 0))
	}
	return c.closeNow()
}

func (c *conn) closeNow() error {
	c.network.removeConn(c)
	if c.resets.Load() {
		c.peer.wasReset.Store(true)
	}
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
