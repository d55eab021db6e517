package common

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// Tasks is a group of goroutines. Unlike with a WaitGroup, Go may be called during
// and after Wait; it then starts nothing.
type Tasks struct {
	mutex sync.Mutex
	// closed is true once Wait has been called; no goroutine starts from then on.
	closed bool
	group  conc.WaitGroup
}

// Go runs the function in a goroutine. It returns false, without running it, once
// Wait has been called.
func (t *Tasks) Go(run func()) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	t.group.Go(run)
	return true
}

// Wait prevents further goroutines and waits until the running ones have ended.
func (t *Tasks) Wait() {
	t.mutex.Lock()
	t.closed = true
	t.mutex.Unlock()
	t.group.Wait()
}
