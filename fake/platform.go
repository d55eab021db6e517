// Package fake holds small stand-ins for the systems that crocusstep meets:
// the platform's object API, a model engine and a plain service. They speak
// the protocols described in docs/protocols and can be made to fail.
package fake

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"crocusstep/ident"
	"crocusstep/platform/double"
	"crocusstep/store"
)

// pageSize is the objects in one page of a list.
const pageSize = 500

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// Latency is the time that each call takes.
	Latency time.Duration
	// InstanceLag is how far the list of instances lies behind the truth.
	InstanceLag time.Duration
	// WritesPerSecond bounds the writes that the platform takes; those above it
	// wait. Zero sets no limit.
	WritesPerSecond int
	// MaxEvents is how many events a watch can look back.
	MaxEvents int
}

// PlatformFaults is what is wrong with the platform at the moment.
type PlatformFaults struct {
	// Down refuses every call before it has any effect.
	Down bool `json:"down"`
	// ExtraLatency is added to each call's latency.
	ExtraLatency time.Duration `json:"slow-ns"`
	// LoseResponses drops the connection after that many writes took effect.
	LoseResponses int `json:"lose-answers"`
}

// PlatformCalls counts the calls that the platform took, by kind.
type PlatformCalls struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

type event struct {
	kind   store.Kind
	object store.Object
}

type instanceSnapshot struct {
	since     time.Time
	instances map[ident.InstanceName]store.Instance
}

// Platform is a stand-in for the platform's object API.
type Platform struct {
	config PlatformConfig
	mutex  sync.Mutex
	// version is that of the newest write.
	version store.Version
	objects map[store.Kind]map[string]store.Object
	// events is in the order of versions.
	events []event
	// changed is closed and replaced at every write.
	changed chan struct{}
	// nextWrite is when the next write may be taken.
	nextWrite time.Time
	faults    PlatformFaults
	calls     PlatformCalls
	instances map[ident.InstanceName]store.Instance
	// snapshots holds the list of instances at each of its changes.
	snapshots []instanceSnapshot
}

// NewPlatform returns an empty platform.
func NewPlatform(config PlatformConfig) *Platform {
	if config.MaxEvents == 0 {
		config.MaxEvents = 1000
	}
	return &Platform{
		config:    config,
		objects:   map[store.Kind]map[string]store.Object{},
		changed:   make(chan struct{}),
		instances: map[ident.InstanceName]store.Instance{},
	}
}

// SetFaults changes what is wrong with the platform.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns how many calls the platform has taken so far.
func (p *Platform) Calls() PlatformCalls {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

// SetInstance adds or changes an instance; the list shows it after the lag.
func (p *Platform) SetInstance(instance store.Instance) {
	p.changeInstances(func(instances map[ident.InstanceName]store.Instance) { instances[instance.Name] = instance })
}

// RemoveInstance takes an instance off; the list shows it until the lag is over.
func (p *Platform) RemoveInstance(name ident.InstanceName) {
	p.changeInstances(func(instances map[ident.InstanceName]store.Instance) { delete(instances, name) })
}

func (p *Platform) changeInstances(change func(map[ident.InstanceName]store.Instance)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	next := map[ident.InstanceName]store.Instance{}
	for name, instance := range p.instances {
		next[name] = instance
	}
	change(next)
	p.instances = next
	p.snapshots = append(p.snapshots, instanceSnapshot{since: time.Now(), instances: next})
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.PUT("/stand-in/instances/:name", p.setInstance)
	router.DELETE("/stand-in/instances/:name", p.removeInstance)
	router.PUT("/stand-in/faults", p.putFaults)
	router.GET("/stand-in/calls", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeJSON(w, p.Calls()) })
	router.NotFound = double.NewHandler(p, pageSize)
	return router
}

// Admit implements double.Backend: it applies the present faults before a call
// has any effect, and counts it.
func (p *Platform) Admit(operation double.Operation) int {
	p.mutex.Lock()
	faults := p.faults
	switch {
	case faults.Down:
	case operation == double.Write:
		p.calls.Writes++
	case operation == double.Watch:
		p.calls.Watches++
	default:
		p.calls.Reads++
	}
	p.mutex.Unlock()
	if faults.Down {
		return http.StatusServiceUnavailable
	}
	if wait := p.config.Latency + faults.ExtraLatency; wait > 0 {
		time.Sleep(wait)
	}
	if operation == double.Write {
		p.throttleWrite()
	}
	return 0
}

// Down implements double.Backend.
func (p *Platform) Down() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults.Down
}

// Objects implements double.Backend. The list of instances lags.
func (p *Platform) Objects(kind string) ([]double.Object, int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if store.Kind(kind) == store.InstanceKind {
		return p.instanceObjects(), int64(p.version)
	}
	var objects []double.Object
	for _, name := range slices.Sorted(maps.Keys(p.objects[store.Kind(kind)])) {
		objects = append(objects, encodeObject(p.objects[store.Kind(kind)][name]))
	}
	return objects, int64(p.version)
}

func (p *Platform) instanceObjects() []double.Object {
	var objects []double.Object
	for _, instance := range p.instancesAt(time.Now().Add(-p.config.InstanceLag)) {
		// Instances are plain structs, which can always be encoded.
		data, _ := json.Marshal(instance)
		objects = append(objects, double.Object{Name: string(instance.Name), Revision: 1, Spec: data})
	}
	slices.SortFunc(objects, func(a, b double.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects
}

func encodeObject(o store.Object) double.Object {
	return double.Object{Name: o.Name, Revision: int64(o.Version), Spec: o.Value}
}

// Since implements double.Backend.
func (p *Platform) Since(kind string, from int64) (events []double.Change, revision int64, compacted bool, changed <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	since := store.Version(from)
	if len(p.events) > 0 && p.events[0].object.Version > since+1 && len(p.events) >= p.config.MaxEvents {
		compacted = true
	}
	for _, e := range p.events {
		if e.kind == store.Kind(kind) && e.object.Version > since {
			events = append(events, double.Change{Object: encodeObject(e.object), Deleted: e.object.Deleted})
		}
	}
	return events, int64(p.version), compacted, p.changed
}

// Apply implements double.Backend.
func (p *Platform) Apply(kind string, o double.Object, deleted bool, expected int64) (double.Object, double.WriteResult) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.objects[store.Kind(kind)][o.Name].Version != store.Version(expected) {
		return double.Object{}, double.Conflict
	}
	p.version++
	o.Revision = int64(p.version)
	p.storeObject(store.Kind(kind), store.Object{Name: o.Name, Version: p.version, Value: o.Spec, Deleted: deleted})
	if p.faults.LoseResponses > 0 {
		p.faults.LoseResponses--
		return o, double.ResponseLost
	}
	return o, double.Written
}

// throttleWrite keeps writes within the platform's rate.
func (p *Platform) throttleWrite() {
	if p.config.WritesPerSecond == 0 {
		return
	}
	p.mutex.Lock()
	now := time.Now()
	if p.nextWrite.Before(now) {
		p.nextWrite = now
	}
	wait := p.nextWrite.Sub(now)
	p.nextWrite = p.nextWrite.Add(time.Second / time.Duration(p.config.WritesPerSecond))
	p.mutex.Unlock()
	time.Sleep(wait)
}

func (p *Platform) storeObject(kind store.Kind, object store.Object) {
	if p.objects[kind] == nil {
		p.objects[kind] = map[string]store.Object{}
	}
	if object.Deleted {
		delete(p.objects[kind], object.Name)
	} else {
		p.objects[kind][object.Name] = object
	}
	p.events = append(p.events, event{kind: kind, object: object})
	if excess := len(p.events) - p.config.MaxEvents; excess > 0 {
		p.events = p.events[excess:]
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) instancesAt(at time.Time) []store.Instance {
	list := []store.Instance{}
	for i := len(p.snapshots) - 1; i >= 0; i-- {
		if p.snapshots[i].since.After(at) {
			continue
		}
		for _, instance := range p.snapshots[i].instances {
			list = append(list, instance)
		}
		return list
	}
	return list
}

func (p *Platform) setInstance(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var instance store.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	instance.Name = ident.InstanceName(params.ByName("name"))
	p.SetInstance(instance)
}

func (p *Platform) removeInstance(_ http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	p.RemoveInstance(ident.InstanceName(params.ByName("name")))
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
