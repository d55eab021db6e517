package queue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/ident"
)

func TestShed(t *testing.T) {
	due := func(attempt, workspace string, seconds int, cost, weight float64) Waiter {
		return Waiter{
			Attempt: ident.AttemptID(attempt), Workspace: ident.WorkspaceName(workspace), Weight: 1,
			Deadline: epoch.Add(time.Duration(seconds) * time.Second), Cost: cost, GoodputWeight: weight,
		}
	}
	scenarios := []struct {
		testName string
		waiters  []Waiter
		expected []ident.AttemptID
	}{
		{"all can start in time", []Waiter{due("a", "w", 0, 1, 1), due("b", "w", 1, 1, 1)}, nil},
		{"with goodput weight the largest is shed", []Waiter{due("large", "w", 2, 9, 1), due("b", "w", 3, 1, 1), due("c", "w", 3, 1, 1)}, []ident.AttemptID{"large"}},
		{"without goodput weight the newcomer is shed", []Waiter{due("large", "w", 2, 9, 0), due("b", "w", 3, 1, 0)}, []ident.AttemptID{"b"}},
		{"the workspace with the burst sheds", []Waiter{due("h1", "h", 1, 2, 1), due("h2", "h", 1, 2, 1), due("o", "o", 1, 1, 1)}, []ident.AttemptID{"h1", "h2"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			q := NewQueue()
			for _, waiter := range s.waiters {
				q.Push(waiter)
			}
			last := s.waiters[len(s.waiters)-1].Attempt
			shed := q.Shed(Forecast{NextFree: epoch, PerCost: time.Second, Slots: 1}, last)
			var names []ident.AttemptID
			for _, waiter := range shed {
				names = append(names, waiter.Attempt)
			}
			assert.DeepEqual(t, names, s.expected)
		})
	}
}

// TestShedMinimizesLoss compares Shed with every subset of the waiters of one
// workspace.
func TestShedMinimizesLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "count")
		var waiters []Waiter
		q := NewQueue()
		for i := range count {
			cost := rapid.IntRange(1, 6).Draw(t, "cost")
			end := rapid.IntRange(1, 15).Draw(t, "end")
			waiter := Waiter{
				Attempt: ident.AttemptID(fmt.Sprint(i)), Workspace: "w", Weight: 1, GoodputWeight: 1,
				Deadline: epoch.Add(time.Duration(end) * time.Second), Cost: float64(cost),
			}
			waiters = append(waiters, waiter)
			q.Push(waiter)
		}
		forecast := Forecast{NextFree: epoch, PerCost: time.Second, Slots: 1}
		q.Shed(forecast, "none")
		if late := q.untilFirstLate(forecast); late != nil {
			t.Fatalf("%d waiters up to the first late one remain", len(late))
		}
		// The algorithm is exact for deadlines of completion. With deadlines of
		// the start, the last waiter's own duration doesn't count, which may
		// cost one waiter.
		if best := maxOnTime(waiters); q.Len() < best-1 {
			t.Fatalf("%d waiters were kept, %d could have been", q.Len(), best)
		}
	})
}

// maxOnTime returns the size of the largest subset that can start in time, in
// deadline order.
func maxOnTime(waiters []Waiter) int {
	best := 0
	for subset := range 1 << len(waiters) {
		q := NewQueue()
		for i, waiter := range waiters {
			if subset&(1<<i) != 0 {
				q.Push(waiter)
			}
		}
		if q.untilFirstLate(Forecast{NextFree: epoch, PerCost: time.Second, Slots: 1}) == nil {
			best = max(best, q.Len())
		}
	}
	return best
}
