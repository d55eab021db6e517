package queue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"crocusstep/ident"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestQueueOrder(t *testing.T) {
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	scenarios := []struct {
		testName string
		waiters  []Waiter
		expected []ident.AttemptID
	}{
		{
			testName: "by deadline within a workspace",
			waiters: []Waiter{
				{Attempt: "late", Workspace: "w", Deadline: at(9), Cost: 1},
				{Attempt: "soon", Workspace: "w", Deadline: at(1), Cost: 1},
			},
			expected: []ident.AttemptID{"soon", "late"},
		},
		{
			testName: "a burst of one workspace does not delay another",
			waiters: []Waiter{
				{Attempt: "a1", Workspace: "a", Deadline: at(1), Cost: 1},
				{Attempt: "a2", Workspace: "a", Deadline: at(1), Cost: 1},
				{Attempt: "a3", Workspace: "a", Deadline: at(1), Cost: 1},
				{Attempt: "b1", Workspace: "b", Deadline: at(5), Cost: 1},
			},
			expected: []ident.AttemptID{"a1", "b1", "a2", "a3"},
		},
		{
			testName: "higher priority first",
			waiters: []Waiter{
				{Attempt: "low", Workspace: "a", Deadline: at(1), Cost: 1},
				{Attempt: "high", Workspace: "b", Priority: 1, Deadline: at(9), Cost: 1},
			},
			expected: []ident.AttemptID{"high", "low"},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			q := NewQueue()
			for _, waiter := range s.waiters {
				q.Push(waiter)
			}
			var order []ident.AttemptID
			for {
				waiter, found := q.Pop()
				if !found {
					break
				}
				order = append(order, waiter.Attempt)
			}
			assert.DeepEqual(t, order, s.expected)
		})
	}
}

// TestQueueShares checks that backlogged workspaces are served in proportion to
// their weights, to within one waiter each, whatever their deadlines.
func TestQueueShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 5).Draw(t, "weights")
		const each = 60
		q := NewQueue()
		for w, weight := range weights {
			for i := range each {
				q.Push(Waiter{
					Attempt:   ident.AttemptID(fmt.Sprintf("%d-%d", w, i)),
					Workspace: ident.WorkspaceName(fmt.Sprint(w)),
					Weight:    weight,
					Deadline:  epoch.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "deadline")) * time.Second),
					Cost:      1,
				})
			}
		}
		served := map[ident.WorkspaceName]float64{}
		for range each {
			waiter, _ := q.Pop()
			served[waiter.Workspace] += 1 / float64(waiter.Weight)
		}
		for a := range weights {
			for b := range weights {
				first, second := served[ident.WorkspaceName(fmt.Sprint(a))], served[ident.WorkspaceName(fmt.Sprint(b))]
				if first-second > 1+1e-9 {
					t.Fatalf("workspace %d got %.2f shares, workspace %d got %.2f", a, first, b, second)
				}
			}
		}
	})
}

// TestQueueCounts checks length and cost against a map of the waiters.
func TestQueueCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		waiting := map[ident.AttemptID]Waiter{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				waiter := Waiter{Attempt: ident.AttemptID(fmt.Sprint(i)), Workspace: "w", Deadline: epoch, Cost: 2}
				q.Push(waiter)
				waiting[waiter.Attempt] = waiter
			case 1:
				waiter, found := q.Pop()
				if found != (len(waiting) > 0) {
					t.Fatalf("Pop found %v with %d waiting", found, len(waiting))
				}
				delete(waiting, waiter.Attempt)
			case 2:
				attempt := ident.AttemptID(fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "attempt")))
				_, isWaiting := waiting[attempt]
				if q.Remove("w", attempt) != isWaiting {
					t.Fatalf("Remove of %s: waiting is %v", attempt, isWaiting)
				}
				delete(waiting, attempt)
			}
			if q.Len() != len(waiting) || q.Cost() != 2*float64(len(waiting)) {
				t.Fatalf("length %d and cost %v for %d waiters", q.Len(), q.Cost(), len(waiting))
			}
		}
	})
}
