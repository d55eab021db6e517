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
		tickets  []Waiter
		expected []ident.AttemptID
	}{
		{
			testName: "by deadline within a workspace",
			tickets: []Waiter{
				{Attempt: "late", Workspace: "w", Deadline: at(9), Cost: 1},
				{Attempt: "soon", Workspace: "w", Deadline: at(1), Cost: 1},
			},
			expected: []ident.AttemptID{"soon", "late"},
		},
		{
			testName: "a herd of one workspace does not hold up another",
			tickets: []Waiter{
				{Attempt: "a1", Workspace: "a", Deadline: at(1), Cost: 1},
				{Attempt: "a2", Workspace: "a", Deadline: at(1), Cost: 1},
				{Attempt: "a3", Workspace: "a", Deadline: at(1), Cost: 1},
				{Attempt: "b1", Workspace: "b", Deadline: at(5), Cost: 1},
			},
			expected: []ident.AttemptID{"a1", "b1", "a2", "a3"},
		},
		{
			testName: "priority goes first",
			tickets: []Waiter{
				{Attempt: "low", Workspace: "a", Deadline: at(1), Cost: 1},
				{Attempt: "high", Workspace: "b", Priority: 1, Deadline: at(9), Cost: 1},
			},
			expected: []ident.AttemptID{"high", "low"},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			q := NewQueue()
			for _, ticket := range s.tickets {
				q.Push(ticket)
			}
			var order []ident.AttemptID
			for {
				ticket, found := q.Pop()
				if !found {
					break
				}
				order = append(order, ticket.Attempt)
			}
			assert.DeepEqual(t, order, s.expected)
		})
	}
}

// TestQueueShares checks that backlogged workspaces are served by weight to
// within one ticket of each, whatever their deadlines.
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
			ticket, _ := q.Pop()
			served[ticket.Workspace] += 1 / float64(ticket.Weight)
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

// TestQueueKeepsCount checks length and cost against a plain set.
func TestQueueKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		waiting := map[ident.AttemptID]Waiter{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				ticket := Waiter{Attempt: ident.AttemptID(fmt.Sprint(i)), Workspace: "w", Deadline: epoch, Cost: 2}
				q.Push(ticket)
				waiting[ticket.Attempt] = ticket
			case 1:
				ticket, found := q.Pop()
				if found != (len(waiting) > 0) {
					t.Fatalf("pop found %v with %d waiting", found, len(waiting))
				}
				delete(waiting, ticket.Attempt)
			case 2:
				attempt := ident.AttemptID(fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "attempt")))
				_, there := waiting[attempt]
				if q.Remove("w", attempt) != there {
					t.Fatalf("remove of %s, which waits: %v", attempt, there)
				}
				delete(waiting, attempt)
			}
			if q.Len() != len(waiting) || q.Cost() != 2*float64(len(waiting)) {
				t.Fatalf("length %d and cost %v for %d tickets", q.Len(), q.Cost(), len(waiting))
			}
		}
	})
}
