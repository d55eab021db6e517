package start

import (
	"net/http"
	"runtime/debug"
	"time"

	"crocusstep/ident"
	"crocusstep/intake"
	"crocusstep/meter"
	"crocusstep/parser"
)

const (
	// heapPercent is the share of the memory limit for the Go heap; stacks, kernel
	// buffers and the program itself take the rest.
	heapPercent = 60

	adminHeaderTimeout = 5 * time.Second

	// maxHeadBytes limits the head of a request; operators' limits are well below.
	maxHeadBytes = 128 << 10

	// idleTimeout bounds how long a keep-alive connection may be idle.
	idleTimeout = 2 * time.Minute

	// relayRequestParts is the part of a relay's memory for the requests that it holds,
	// requestParts that of the other roles, which decode what they read.
	relayRequestParts, requestParts = 8, 4
)

// guard bounds what a process holds for all of its clients together.
type guard struct {
	budget   *intake.Budget
	maxConns int
	meter    *meter.Meter
}

// limitHeap limits the heap of the process.
func limitHeap(memory parser.Size) { debug.SetMemoryLimit(int64(memory) * heapPercent / 100) }

// newGuard divides the memory of a process. Requests have one of the parts.
func newGuard(memory parser.Size, parts int, m *meter.Meter) *guard {
	g := &guard{maxConns: intake.MaxConns(ident.ByteCount(memory)), meter: m}
	g.budget = intake.NewBudget(ident.ByteCount(memory)/ident.ByteCount(parts), func() { g.count(intake.DropRequest) })
	return g
}

func (g *guard) count(reason intake.DropReason) { g.meter.CountDroppedClient(string(reason)) }

// newServer returns a server for the clients that the role is for.
func (g *guard) newServer(handler http.Handler, headerTimeout time.Duration) *intake.Server {
	server := intake.NewServer(&http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes})
	server.Budget, server.MaxConns, server.OnDrop = g.budget, g.maxConns, g.count
	return server
}

// newSideServer returns a server for operators, collectors and the load balancer.
func (g *guard) newSideServer(handler http.Handler) *intake.Server {
	server := g.newServer(handler, adminHeaderTimeout)
	server.MaxConns = intake.SideConns
	return server
}
