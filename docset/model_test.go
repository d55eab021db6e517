package docset

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusstep/ident"
	"crocusstep/store"
)

// The model runs the code's own View for two nodes, one of which can be cut off
// and restarted, beside one operator who proposes, accepts and withdraws. It
// visits every order of steps up to a depth and checks after each that nobody
// is served under an older document than was served ConfirmLimit before.
const (
	modelNodes = 2
	modelDepth = 11
	// modelNumbers is how many documents are accepted at most.
	modelNumbers = 2
	// modelTick is the time that one wait takes: one is past ConfirmLimit.
	modelTick = MaxStaleness + time.Second
)

var modelStart = time.Unix(1_800_000_000, 0)

// world is one state of the model.
type world struct {
	now time.Time
	// object is the service's only object in the store.
	object store.Object
	// acked is the proposal that the store holds for each node.
	acked [modelNodes]string
	views [modelNodes]*View
	cut   [modelNodes]bool
	next  int
	// servedAt is when each number was served first, over all nodes.
	servedAt map[RevisionNumber]time.Time
}

func (w *world) clone() *world {
	c := *w
	for i, v := range w.views {
		c.views[i] = copyView(v)
	}
	c.servedAt = map[RevisionNumber]time.Time{}
	for number, at := range w.servedAt {
		c.servedAt[number] = at
	}
	return &c
}

func copyView(v *View) *View {
	c := *v
	c.services = map[ident.ServiceName]*known{}
	for service, k := range v.services {
		copied := *k
		c.services[service] = &copied
	}
	return &c
}

func (w *world) read(node int) {
	v := w.views[node]
	if v.loaded {
		v.ApplyEvents(store.Batch{Version: w.object.Version, Events: []store.Object{w.object}}, w.now)
		return
	}
	v.ApplySnapshot(store.Listing{Version: w.object.Version, Objects: []store.Object{w.object}}, w.now)
}

func (w *world) sheet() Record {
	sheet, _ := ParseRecord(w.object.Value)
	return sheet
}

func (w *world) write(sheet Record) {
	value, _ := sheet.Encode()
	w.object = store.Object{Name: "s", Version: w.object.Version + 1, Value: value}
}

func textOf(number RevisionNumber) string {
	return fmt.Sprintf("service: s\nworkspace: w\nkind: plain\npools: {serve: p}\ntargets: {whole-answer: 1s, patience: 2s}\nweight: %d\ncalls: [{match: GET /, class: lookup}]\n", number)
}

// modelStep is one thing that may happen; it reports whether it can.
type modelStep struct {
	name string
	run  func(w *world) bool
}

func modelSteps() []modelStep {
	steps := []modelStep{
		{"time passes", func(w *world) bool {
			w.now = w.now.Add(modelTick)
			return true
		}},
		{"operator proposes", func(w *world) bool {
			sheet := w.sheet()
			if sheet.Staged != nil || sheet.Current.Number >= modelNumbers {
				return false
			}
			w.next++
			number := sheet.Current.Number + 1
			w.write(Record{Current: sheet.Current, Staged: &Revision{Number: number, Text: textOf(number)}, Proposal: fmt.Sprint("p", w.next)})
			return true
		}},
		{"operator accepts", func(w *world) bool {
			sheet := w.sheet()
			if sheet.Staged == nil || len(missingAcks(w.instances(), w.ackObjects(), "s", sheet.Proposal)) > 0 {
				return false
			}
			w.write(Record{Current: *sheet.Staged})
			return true
		}},
		{"operator withdraws", func(w *world) bool {
			sheet := w.sheet()
			if sheet.Staged == nil {
				return false
			}
			w.write(Record{Current: sheet.Current})
			return true
		}},
	}
	for node := range modelNodes {
		steps = append(steps, nodeSteps(node)...)
	}
	return steps
}

func nodeSteps(node int) []modelStep {
	return []modelStep{
		{fmt.Sprint("reads ", node), func(w *world) bool {
			if w.cut[node] {
				return false
			}
			w.read(node)
			return true
		}},
		{fmt.Sprint("acknowledges ", node), func(w *world) bool {
			v := w.views[node]
			if w.cut[node] || !v.Unacknowledged() {
				return false
			}
			w.acked[node] = v.Pending()["s"]
			v.Acknowledge(v.Pending())
			return true
		}},
		{fmt.Sprint("is cut or healed ", node), func(w *world) bool {
			if node > 0 {
				return false
			}
			w.cut[node] = !w.cut[node]
			return true
		}},
		{fmt.Sprint("restarts ", node), func(w *world) bool {
			if node > 0 || w.cut[node] || !w.views[node].loaded {
				return false
			}
			w.views[node] = NewView()
			return true
		}},
	}
}

func (w *world) instances() []store.Instance {
	var list []store.Instance
	for node := range modelNodes {
		list = append(list, store.Instance{Name: ident.InstanceName(fmt.Sprint(node)), Role: store.EntryRole})
	}
	return list
}

func (w *world) ackObjects() []store.Object {
	var objects []store.Object
	for node, proposal := range w.acked {
		value, _ := json.Marshal(Acks{Proposals: map[ident.ServiceName]string{"s": proposal}})
		objects = append(objects, store.Object{Name: fmt.Sprint(node), Value: value})
	}
	return objects
}

// serve lets every node that may serve do so, and checks what it serves.
func (w *world) serve() error {
	for node := range modelNodes {
		found, standing := w.views[node].Find("s", w.now)
		if standing != Active {
			continue
		}
		for number, at := range w.servedAt {
			if number > found.Number && w.now.Sub(at) > MaxStaleness {
				return fmt.Errorf("node %d serves number %d, %s after number %d was served", node, found.Number, w.now.Sub(at), number)
			}
		}
		if _, before := w.servedAt[found.Number]; !before {
			w.servedAt[found.Number] = w.now
		}
	}
	return nil
}

func (w *world) fingerprint() string {
	text := fmt.Sprint(w.now.Unix(), w.object.Version, w.sheet().Proposal, w.sheet().Current.Number, w.acked, w.cut)
	for number := RevisionNumber(1); number <= modelNumbers; number++ {
		text += fmt.Sprint(" ", w.servedAt[number].Unix())
	}
	for _, v := range w.views {
		text += fmt.Sprint(" ", v.version, v.loaded, v.confirmed.Unix())
		if k := v.services["s"]; k != nil {
			text += fmt.Sprint(k.number, k.proposal, k.promised, k.sent)
		}
	}
	return text
}

func TestModel(t *testing.T) {
	first := &world{now: modelStart, servedAt: map[RevisionNumber]time.Time{}}
	first.write(Record{Current: Revision{Number: 1, Text: textOf(1)}})
	for node := range modelNodes {
		first.views[node] = NewView()
		first.read(node)
	}
	steps := modelSteps()
	seen := map[string]bool{}
	layer := []*world{first}
	visited := 0
	for range modelDepth {
		var next []*world
		for _, w := range layer {
			for _, step := range steps {
				c := w.clone()
				if !step.run(c) {
					continue
				}
				assert.NilError(t, c.serve(), "after %q", step.name)
				key := c.fingerprint()
				if seen[key] {
					continue
				}
				seen[key] = true
				visited++
				next = append(next, c)
			}
		}
		layer = next
	}
	t.Logf("%d states up to depth %d", visited, modelDepth)
	assert.Assert(t, visited > 1000)
}
