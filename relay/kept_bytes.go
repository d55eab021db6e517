package relay

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"

	"crocusstep/client"
	"crocusstep/ident"
)

const (
	// freeBytes is what is kept of each response without a share of the memory for responses. Sound responses
	// and events are hardly ever longer.
	freeBytes = 64 << 10
	// shareBytes is the least that a response takes of that memory.
	shareBytes = 64 << 10
	// growthFactor is how much memory a byte takes while the buffer that keeps it grows.
	growthFactor = 2
)

// errNoMemory means that the responses which are kept at the same time have used up their memory.
var errNoMemory = errors.New("other responses have used up the memory for responses")

// responseMemory limits the memory of all responses and events that are kept until they are complete. Each has a limit of its
// own, but a faulty endpoint may send many without end at the same time. Nil is no limit.
type responseMemory struct{ free *semaphore.Weighted }

// newResponseMemory returns a limit; zero is none.
func newResponseMemory(size ident.ByteCount) *responseMemory {
	if size == 0 {
		return nil
	}
	return &responseMemory{free: semaphore.NewWeighted(int64(size))}
}

// keptBytes is what one response has of the memory.
type keptBytes struct {
	memory *responseMemory
	// size is how many bytes are covered, held the share that was taken.
	size, held int64
}

// cover takes what a response of a size needs. It returns errNoMemory if there is not enough.
func (k *keptBytes) cover(size int64) error {
	if k.memory == nil || size <= max(freeBytes, k.size) {
		return nil
	}
	next := max(size, k.size+shareBytes)
	need := (next-freeBytes)*growthFactor - k.held
	if !k.memory.free.TryAcquire(need) {
		return errNoMemory
	}
	k.size, k.held = next, k.held+need
	return nil
}

// release returns what was taken.
func (k *keptBytes) release() {
	if k.held > 0 {
		k.memory.free.Release(k.held)
	}
	k.size, k.held = 0, 0
}

// keptReader reads a response that is kept.
type keptReader struct {
	io.Reader
	kept *keptBytes
	read int64
}

// Read implements io.Reader.
func (r *keptReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += int64(n)
	if coverErr := r.kept.cover(r.read); coverErr != nil {
		return n, coverErr
	}
	return n, err
}

// readBody reads a response body completely. An incomplete or too long one joins client.ErrResponseLost. The
// memory is kept until release is called.
func (m *responseMemory) readBody(body io.Reader) (data []byte, release func(), err error) {
	kept := &keptBytes{memory: m}
	data, err = io.ReadAll(io.LimitReader(&keptReader{Reader: body, kept: kept}, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = errors.New("the response is too long")
	}
	if err != nil {
		kept.release()
		return nil, func() {}, errors.Join(client.ErrResponseLost, err)
	}
	return data, kept.release, nil
}
