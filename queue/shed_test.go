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
		tickets  []Waiter
		expected []ident.AttemptID
	}{
		{"all can start", []Waiter{due("a", "w", 0, 1, 1), due("b", "w", 1, 1, 1)}, nil},
		{"for goodput the largest gives way", []Waiter{due("large", "w", 2, 9, 1), due("b", "w", 3, 1, 1), due("c", "w", 3, 1, 1)}, []ident.AttemptID{"large"}},
		{"without it the newcomer does", []Waiter{due("large", "w", 2, 9, 0), due("b", "w", 3, 1, 0)}, []ident.AttemptID{"b"}},
		{"the workspace with the herd gives way", []Waiter{due("h1", "h", 1, 2, 1), due("h2", "h", 1, 2, 1), due("o", "o", 1, 1, 1)}, []ident.AttemptID{"h1", "h2"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			q := NewQueue()
			for _, ticket := range s.tickets {
				q.Push(ticket)
			}
			last := s.tickets[len(s.tickets)-1].Attempt
			shed := q.Shed(Forecast{NextFree: epoch, PerCost: time.Second, Slots: 1}, last)
			var names []ident.AttemptID
			for _, ticket := range shed {
				names = append(names, ticket.Attempt)
			}
			assert.DeepEqual(t, names, s.expected)
		})
	}
}

// TestShedLosesTheFewest compares with every subset, for one workspace.
func TestShedLosesTheFewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "count")
		var tickets []Waiter
		q := NewQueue()
		for i := range count {
			cost := rapid.IntRange(1, 6).Draw(t, "cost")
			end := rapid.IntRange(1, 15).Draw(t, "end")
			ticket := Waiter{
				Attempt: ident.AttemptID(fmt.Sprint(i)), Workspace: "w", Weight: 1, GoodputWeight: 1,
				Deadline: epoch.Add(time.Duration(end) * time.Second), Cost: float64(cost),
			}
			tickets = append(tickets, ticket)
			q.Push(ticket)
		}
		o := Forecast{NextFree: epoch, PerCost: time.Second, Slots: 1}
		q.Shed(o, "none")
		if late := q.untilLate(o); late != nil {
			t.Fatalf("%d tickets are still late", len(late))
		}
		// The rule is exact for deadlines of the end; for deadlines of the start
		// the last ticket is free, which may cost one.
		if best := mostInTime(tickets); q.Len() < best-1 {
			t.Fatalf("%d tickets were kept, %d could have been", q.Len(), best)
		}
	})
}

// mostInTime is the largest subset that can start in time, in deadline order.
func mostInTime(tickets []Waiter) int {
	best := 0
	for subset := range 1 << len(tickets) {
		q := NewQueue()
		for i, ticket := range tickets {
			if subset&(1<<i) != 0 {
				q.Push(ticket)
			}
		}
		if q.untilLate(Forecast{NextFree: epoch, PerCost: time.Second, Slots: 1}) == nil {
			best = max(best, q.Len())
		}
	}
	return best
}
