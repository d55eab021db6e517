package relay

import (
	"sync"
	"time"
)

// recentMaximum is the highest number that was recorded within the current and the previous
// window. It is safe for concurrent use.
type recentMaximum struct {
	window time.Duration

	mutex sync.Mutex
	// current and previous are the highest numbers of the two windows, zero if none was recorded.
	current, previous int
	// began is when the current window began.
	began time.Time
}

func (m *recentMaximum) record(number int, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now.Sub(m.began) >= m.window {
		m.previous, m.current, m.began = m.current, 0, now
	}
	m.current = max(m.current, number)
}

// highest returns the last known maximum if nothing was recorded lately.
func (m *recentMaximum) highest() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return max(m.current, m.previous)
}
