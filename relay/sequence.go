package relay

import (
	"errors"
	"fmt"
	"strconv"

	"crocusstep/event"
)

// sequence checks that the events of a stream follow each other over all tries.
type sequence struct {
	// last is the id of the last event, empty if there is none.
	last string
	// step is the difference between the ids of two events of one try, zero before. Uneven is set
	// if the differences differ.
	step   int64
	uneven bool
	// lost is set once an event had no id, so that no try can go on after it.
	lost bool
}

// errNotNext means that an event does not follow the last one.
var errNotNext = errors.New("the event does not follow the last one")

// add adds an event. Begins is set for the first event of a try.
func (q *sequence) add(e event.Event, begins bool) error {
	joins := begins && q.last != ""
	if e.ID == "" {
		if joins {
			return fmt.Errorf("%w: it has no id", errNotNext)
		}
		q.lost = true
		return nil
	}
	id, err := strconv.ParseInt(e.ID, 10, 64)
	last, lastErr := strconv.ParseInt(q.last, 10, 64)
	if err == nil && lastErr == nil {
		step := id - last
		if step <= 0 || joins && q.step > 0 && !q.uneven && step != q.step {
			return fmt.Errorf("%w: %d after %d", errNotNext, id, last)
		}
		if !begins {
			q.uneven = q.uneven || q.step > 0 && step != q.step
			q.step = step
		}
	}
	q.last = e.ID
	return nil
}
