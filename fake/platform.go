// Package fake implements fakes of the systems that crocusstep depends on: the
// platform's object API, a model engine and a plain service. They implement the
// protocols in docs/protocols and support fault injection.
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

// pageSize is the number of objects in one page of a list.
const pageSize = 500

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// Latency is the time that each call takes.
	Latency time.Duration
	// InstanceLag is the delay after which the list of instances shows a change.
	InstanceLag time.Duration
	// WritesPerSecond limits the rate of writes; writes above it wait. Zero means no
	// limit.
	WritesPerSecond int
	// MaxEvents is the number of events kept for watches; zero means 1000.
	MaxEvents int
}

// PlatformFaults are the faults injected into a Platform.
type PlatformFaults struct {
	// Down rejects every call before it has any effect.
	Down bool `json:"down"`
	// ExtraLatency is added to the latency of each call.
	ExtraLatency time.Duration `json:"slow-ns"`
	// LoseResponses is the number of writes that take effect but whose response is
	// lost.
	LoseResponses int `json:"lose-answers"`
}

// PlatformCalls counts the calls that a Platform accepted, by kind.
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

// Platform is a fake of the platform's object API. It is safe for concurrent use.
type Platform struct {
	config PlatformConfig
	mutex  sync.Mutex
	// era counts the restores; responses state it unless it is zero.
	era int64
	// version is the revision of the newest write.
	version store.Version
	objects map[store.Kind]map[string]store.Object
	// events is sorted by version.
	events []event
	// changed is closed and replaced at every write and change of faults.
	changed chan struct{}
	// nextWrite is the time at which the next write is accepted.
	nextWrite time.Time
	faults    PlatformFaults
	calls     PlatformCalls
	instances map[ident.InstanceName]store.Instance
	// snapshots holds the list of instances after each change, oldest first.
	snapshots []instanceSnapshot
}

// NewPlatform returns an empty platform.
func NewPlatform(config PlatformConfig) *Platform {
	if config.MaxEvents == 0 {
		config.MaxEvents = 1000
	}
	return &Platform{
		config:    config,
		era:       1,
		objects:   map[store.Kind]map[string]store.Object{},
		changed:   make(chan struct{}),
		instances: map[ident.InstanceName]store.Instance{},
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns the numbers of calls accepted so far.
func (p *Platform) Calls() PlatformCalls {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

// SetInstance adds or replaces an instance; the list shows it after InstanceLag.
func (p *Platform) SetInstance(instance store.Instance) {
	p.changeInstances(func(instances map[ident.InstanceName]store.Instance) { instances[instance.Name] = instance })
}

// RemoveInstance removes an instance; the list shows it until InstanceLag has passed.
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

// Admit implements double.Backend: it applies the injected faults to a call and
// counts it.
func (p *Platform) Admit(op double.Operation) int {
	p.mutex.Lock()
	faults := p.faults
	switch {
	case faults.Down:
	case op == double.Write:
		p.calls.Writes++
	case op == double.Watch:
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
	if op == double.Write {
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

// Era implements double.Backend.
func (p *Platform) Era() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.era
}

// position returns the store's position; the mutex must be held.
func (p *Platform) position() double.Position {
	return double.Position{Era: p.era, Revision: int64(p.version)}
}

// Objects implements double.Backend. The list of instances lags.
func (p *Platform) Objects(kind string) ([]double.Object, double.Position) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if store.Kind(kind) == store.InstanceKind {
		return p.instanceObjects(), p.position()
	}
	var objects []double.Object
	for _, name := range slices.Sorted(maps.Keys(p.objects[store.Kind(kind)])) {
		objects = append(objects, encodeObject(p.objects[store.Kind(kind)][name]))
	}
	return objects, p.position()
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
func (p *Platform) Since(kind string, from int64) (events []double.Change, at double.Position, compacted bool, changed <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	since := store.Version(from)
	if len(p.events) > 0 && p.events[0].object.Version > since+1 && len(p.events) >= p.config.MaxEvents {
		compacted = true
	}
	compacted = compacted || since > p.version
	for _, e := range p.events {
		if e.kind == store.Kind(kind) && e.object.Version > since {
			events = append(events, double.Change{Object: encodeObject(e.object), Deleted: e.object.Deleted})
		}
	}
	return events, p.position(), compacted, p.changed
}

// Apply implements double.Backend.
func (p *Platform) Apply(kind string, o double.Object, deleted bool, expected int64) (double.Object, int64, double.WriteResult) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.objects[store.Kind(kind)][o.Name].Version != store.Version(expected) {
		return double.Object{}, p.era, double.Conflict
	}
	p.version++
	o.Revision = int64(p.version)
	p.storeObject(store.Kind(kind), store.Object{Name: o.Name, Version: p.version, Value: o.Spec, Deleted: deleted})
	if p.faults.LoseResponses > 0 {
		p.faults.LoseResponses--
		return o, p.era, double.ResponseLost
	}
	return o, p.era, double.Written
}

// throttleWrite waits until WritesPerSecond allows another write.
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
	// The error is ignored, as the client may have disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
