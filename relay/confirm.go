package relay

import (
	"sync"
	"time"

	"crocusstep/gossip"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/store"
)

// receivedStamp is a hub's stamp and when it was received.
type receivedStamp struct {
	stamp gossip.Stamp
	at    time.Time
}

// receivedStamps holds the last stamp of each hub. The zero value is empty.
type receivedStamps struct {
	mutex sync.Mutex
	last  map[ident.Address]receivedStamp
}

func (r *receivedStamps) record(hub ident.Address, stamp gossip.Stamp, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.last == nil {
		r.last = map[ident.Address]receivedStamp{}
	}
	r.last[hub] = receivedStamp{stamp: stamp, at: now}
}

func (r *receivedStamps) of(hub ident.Address) (received receivedStamp, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	received, known = r.last[hub]
	return received, known
}

// confirmation returns how recent this relay's state is, relative to the hub's last stamp; nil if there is
// none.
func (g *Gossip) confirmation(hub pool.Endpoint) *gossip.Confirmation {
	received, known := g.stamps.of(hub.Address)
	if !known {
		return nil
	}
	return gossip.Confirm(received.stamp, received.at, g.relay.tableFreshness, g.relay.endpointFreshness)
}

// confirm records how recent the state is that a hub returned to a message sent at a given time, which is not
// later than the hub's stamp. What could not be applied confirms nothing.
func (g *Gossip) confirm(in *gossip.Message, hub pool.Endpoint, sentAt time.Time) {
	if in.Confirmation == nil {
		return
	}
	g.stamps.record(hub.Address, in.Confirmation.Stamp, time.Now())
	var tables, endpoints *store.Freshness
	if t := g.relay.Table(); t != nil && t.Version >= in.Digest.Table {
		tables = g.relay.tableFreshness
	}
	if g.pool.Revision() >= in.Digest.Endpoints {
		endpoints = g.relay.endpointFreshness
	}
	in.Confirmation.Apply(sentAt, tables, endpoints)
}
