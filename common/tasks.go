package common

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// Tasks runs goroutines that are all waited for at the end. Unlike a bare
// WaitGroup it may be asked to run more while it is being waited for: it then
// refuses.
type Tasks struct {
	mutex sync.Mutex
	// closed is true once Wait was called; nothing starts from then on.
	closed bool
	group  conc.WaitGroup
}

// Go runs a function beside the caller; it reports false if it came too late.
func (t *Tasks) Go(run func()) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	t.group.Go(run)
	return true
}

// Wait lets nothing more start and returns when all that runs has ended.
func (t *Tasks) Wait() {
	t.mutex.Lock()
	t.closed = true
	t.mutex.Unlock()
	t.group.Wait()
}
