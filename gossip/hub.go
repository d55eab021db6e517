package gossip

import (
	"sync"
	"time"

	"crocusstep/pool"
	"crocusstep/table"
)

// peerLife is how long a process counts as a peer after it was last heard of.
const peerLife = 4 * time.Second

// Hub holds the newest state that any process told this one, for others to
// fetch. It decides nothing by it. It is safe for concurrent use.
type Hub struct {
	crashes   *CrashTracker
	endpoints *pool.Pool

	mutex sync.Mutex
	table *table.Document
	// peers holds when each sender was last heard of.
	peers map[string]time.Time
}

// NewHub returns an empty board.
func NewHub() *Hub {
	return &Hub{crashes: NewCrashTracker(), endpoints: pool.NewPool(), peers: map[string]time.Time{}}
}

// Exchange takes over what is newer in a bulletin and returns what the sender
// lacks.
func (b *Hub) Exchange(in *Message, now time.Time) *Message {
	for _, c := range in.Crashes {
		b.crashes.Record(c, now)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if in.Table != nil && (b.table == nil || in.Table.Version > b.table.Version) {
		b.table = in.Table
	}
	in.ApplyEndpoints(b.endpoints)
	b.hear(in.Sender, now)
	out := &Message{Digest: Digest{Crashes: b.crashes.Size()}, Peers: len(b.peers), Rank: b.rank(in.Sender)}
	if b.table != nil {
		out.Digest.Table = b.table.Version
		if b.table.Version > in.Digest.Table {
			out.Table = b.table
		}
	}
	out.AddEndpoints(b.endpoints, in.Digest.Endpoints)
	if out.Digest.Crashes > 0 && in.Digest.Crashes != out.Digest.Crashes {
		out.Crashes = b.crashes.Crashes(now)
	}
	return out
}

func (b *Hub) hear(sender string, now time.Time) {
	if sender != "" {
		b.peers[sender] = now
	}
	for name, at := range b.peers {
		if now.Sub(at) > peerLife {
			delete(b.peers, name)
		}
	}
}

// rank returns how many of those heard of lately come before a name.
func (b *Hub) rank(of string) int {
	rank := 0
	for name := range b.peers {
		if name < of {
			rank++
		}
	}
	return rank
}
