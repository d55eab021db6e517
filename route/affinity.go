package route

import (
	"hash/maphash"
	"strings"
	"sync"

	"crocusstep/ident"
)

const (
	// blockTokens is the grain in which prefixes are remembered.
	blockTokens = 32
	// rememberedBlocks bounds the memory of one entry.
	rememberedBlocks = 50_000
)

// Affinity remembers which endpoint read which prompt prefix last. It learns
// from this entry's own requests, because the engines' cache events are late
// and have gaps. A wrong memory costs a little time and is never an error.
type Affinity struct {
	seed  maphash.Seed
	mutex sync.Mutex
	// blocks maps the hash of a whole prefix to the endpoint that read it.
	blocks map[uint64]ident.EndpointName
	// order is the ring of hashes by age.
	order []uint64
	next  int
}

// NewAffinity returns an empty memory.
func NewAffinity() *Affinity {
	return &Affinity{seed: maphash.MakeSeed(), blocks: map[uint64]ident.EndpointName{}}
}

// CachedTokens estimates how many tokens of a prompt each endpoint holds.
func (a *Affinity) CachedTokens(prompt string) map[ident.EndpointName]ident.TokenCount {
	cached := map[ident.EndpointName]ident.TokenCount{}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for i, hash := range a.hashes(prompt) {
		endpoint, ok := a.blocks[hash]
		if !ok {
			break
		}
		cached[endpoint] = ident.TokenCount((i + 1) * blockTokens)
	}
	return cached
}

// Record remembers that an endpoint has read a prompt.
func (a *Affinity) Record(prompt string, endpoint ident.EndpointName) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, hash := range a.hashes(prompt) {
		if _, known := a.blocks[hash]; !known {
			a.remember(hash)
		}
		a.blocks[hash] = endpoint
	}
}

func (a *Affinity) remember(hash uint64) {
	if len(a.order) < rememberedBlocks {
		a.order = append(a.order, hash)
		return
	}
	delete(a.blocks, a.order[a.next])
	a.order[a.next] = hash
	a.next = (a.next + 1) % rememberedBlocks
}

// hashes returns the hash of each prefix that ends at a block's border.
func (a *Affinity) hashes(prompt string) []uint64 {
	words := strings.Fields(prompt)
	var sum maphash.Hash
	sum.SetSeed(a.seed)
	var hashes []uint64
	for i, word := range words {
		_, _ = sum.WriteString(word)
		_ = sum.WriteByte(0)
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, sum.Sum64())
		}
	}
	return hashes
}
