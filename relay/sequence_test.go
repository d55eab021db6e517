package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"crocusstep/event"
)

// TestSequence guards against streams that go on at another event than the next one.
func TestSequence(t *testing.T) {
	scenarios := []struct {
		testName string
		// last is the id that the caller has received in an earlier attempt.
		last string
		// tries holds the ids of the events of each try; only the last one may be wrong.
		tries [][]string
		wrong bool
		lost  bool
	}{
		{testName: "one try", tries: [][]string{{"1", "2", "3"}}},
		{testName: "an earlier attempt", last: "3", tries: [][]string{{"4", "5"}, {"6"}}},
		{testName: "an earlier attempt, from the start", last: "3", tries: [][]string{{"1"}}, wrong: true},
		{testName: "from the start", tries: [][]string{{"1", "2"}, {"1"}}, wrong: true},
		{testName: "the last one twice", tries: [][]string{{"1", "2"}, {"2"}}, wrong: true},
		{testName: "a gap", tries: [][]string{{"1", "2"}, {"4"}}, wrong: true},
		{testName: "a gap after a second try", tries: [][]string{{"1"}, {"2", "3"}, {"5"}}, wrong: true},
		{testName: "nothing tells a gap", tries: [][]string{{"1"}, {"3"}}},
		{testName: "ids that grow by two", tries: [][]string{{"2", "4"}, {"6"}}},
		{testName: "ids that grow unevenly", tries: [][]string{{"1", "2", "5"}, {"9"}}},
		{testName: "twice within a try", tries: [][]string{{"1", "2", "2"}}, wrong: true},
		{testName: "ids that are no numbers", tries: [][]string{{"a", "b"}, {"c"}}},
		{testName: "no ids", tries: [][]string{{"", ""}}, lost: true},
		{testName: "no id at the end", tries: [][]string{{"1", ""}}, lost: true},
		{testName: "no id after another try", tries: [][]string{{"1"}, {""}}, wrong: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			q := sequence{last: s.last}
			var err error
			for _, try := range s.tries {
				assert.NilError(t, err)
				for i, id := range try {
					err = q.add(event.Event{ID: id}, i == 0)
				}
			}
			assert.Equal(t, err != nil, s.wrong, "%v", err)
			assert.Equal(t, q.lost, s.lost)
		})
	}
}
