package route

import (
	"hash/maphash"
	"strings"
	"sync"

	"crocusstep/ident"
)

const (
	// blockTokens is the granularity at which prefixes are recorded, in tokens.
	blockTokens = 32
	// maxBlocks bounds the memory that an entry uses for prefixes.
	maxBlocks = 50_000
)

// Affinity records which endpoint last prefilled which prompt prefix. It learns
// from this entry's own requests, because the engines' cache events are late
// and have gaps. An outdated record only costs time.
type Affinity struct {
	seed  maphash.Seed
	mutex sync.Mutex
	// blocks maps the hash of a prefix to the endpoint that last prefilled it.
	blocks map[uint64]ident.EndpointName
	// ring holds the hashes of blocks in insertion order, for eviction.
	ring   []uint64
	oldest int
}

// NewAffinity returns an empty Affinity.
func NewAffinity() *Affinity {
	return &Affinity{seed: maphash.MakeSeed(), blocks: map[uint64]ident.EndpointName{}}
}

// CachedTokens estimates how many tokens of a prompt each endpoint has cached.
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

// Record records that an endpoint prefilled a prompt.
func (a *Affinity) Record(prompt string, endpoint ident.EndpointName) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, hash := range a.hashes(prompt) {
		if _, known := a.blocks[hash]; !known {
			a.insert(hash)
		}
		a.blocks[hash] = endpoint
	}
}

func (a *Affinity) insert(hash uint64) {
	if len(a.ring) < maxBlocks {
		a.ring = append(a.ring, hash)
		return
	}
	delete(a.blocks, a.ring[a.oldest])
	a.ring[a.oldest] = hash
	a.oldest = (a.oldest + 1) % maxBlocks
}

// hashes returns the hash of each prefix that ends at a block boundary.
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
