// Package fake holds small stand-ins for the systems that crocusstep meets:
// the platform's object API, a model engine and a plain service. They speak
// the protocols described in docs/protocols and can be made to fail.
package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"crocusstep/ident"
	"crocusstep/store"
)

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// Latency is the time that each call takes.
	Latency time.Duration
	// InstanceLag is how far the list of instances lies behind the truth.
	InstanceLag time.Duration
	// WritesPerSecond bounds the writes that the platform takes; those above it
	// wait. Zero sets no limit.
	WritesPerSecond int
	// KeptEvents is how many events a watch can look back.
	KeptEvents int
}

// PlatformFaults is what is wrong with the platform at the moment.
type PlatformFaults struct {
	// Down refuses every call before it has any effect.
	Down bool `json:"down"`
	// SlowNS is added to each call's latency.
	SlowNS time.Duration `json:"slow-ns"`
	// LoseAnswers drops the connection after that many writes took effect.
	LoseAnswers int `json:"lose-answers"`
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

type timedInstances struct {
	from      time.Time
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
	// history holds the list of instances at each of its changes.
	history []timedInstances
}

// NewPlatform returns an empty platform.
func NewPlatform(config PlatformConfig) *Platform {
	if config.KeptEvents == 0 {
		config.KeptEvents = 1000
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
	p.history = append(p.history, timedInstances{from: time.Now(), instances: next})
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/objects/:kind", p.guard(p.listOrWatch))
	router.GET("/objects/:kind/:name", p.guard(p.get))
	router.PUT("/objects/:kind/:name", p.guard(p.put))
	router.DELETE("/objects/:kind/:name", p.guard(p.remove))
	router.GET("/instances", p.guard(p.list))
	router.PUT("/stand-in/instances/:name", p.setInstance)
	router.DELETE("/stand-in/instances/:name", p.removeInstance)
	router.PUT("/stand-in/faults", p.putFaults)
	router.GET("/stand-in/calls", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { reply(w, p.Calls()) })
	return router
}

// guard applies the present faults before a call has any effect.
func (p *Platform) guard(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		p.mutex.Lock()
		faults := p.faults
		p.mutex.Unlock()
		if faults.Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if wait := p.config.Latency + faults.SlowNS; wait > 0 {
			time.Sleep(wait)
		}
		next(w, r, params)
	}
}

func (p *Platform) get(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	p.mutex.Lock()
	p.calls.Reads++
	object, ok := p.objects[store.Kind(params.ByName("kind"))][params.ByName("name")]
	p.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, object)
}

func (p *Platform) listOrWatch(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	kind := store.Kind(params.ByName("kind"))
	if r.URL.Query().Get("watch") == "true" {
		p.watch(w, r, kind)
		return
	}
	p.mutex.Lock()
	p.calls.Reads++
	listing := store.Listing{Version: p.version}
	for _, object := range p.objects[kind] {
		listing.Objects = append(listing.Objects, object)
	}
	p.mutex.Unlock()
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Name < listing.Objects[j].Name })
	reply(w, listing)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, kind store.Kind) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.mutex.Lock()
	p.calls.Watches++
	p.mutex.Unlock()
	for {
		batch, gap, down, changed := p.eventsSince(kind, store.Version(since))
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gap:
			w.WriteHeader(http.StatusGone)
			return
		case len(batch.Events) > 0:
			reply(w, batch)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, batch)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) eventsSince(kind store.Kind, since store.Version) (batch store.Batch, gap, down bool, changed chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	batch.Version = p.version
	if len(p.events) > 0 && p.events[0].object.Version > since+1 && len(p.events) >= p.config.KeptEvents {
		gap = true
	}
	for _, e := range p.events {
		if e.kind == kind && e.object.Version > since {
			batch.Events = append(batch.Events, e.object)
		}
	}
	return batch, gap, p.faults.Down, p.changed
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValue+1))
	if err != nil {
		return
	}
	if len(value) > store.MaxValue {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	p.change(w, r, params, store.Object{Name: params.ByName("name"), Value: value})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	p.change(w, r, params, store.Object{Name: params.ByName("name"), Deleted: true})
}

// waitTurn keeps writes within the platform's rate.
func (p *Platform) waitTurn() {
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

func (p *Platform) change(w http.ResponseWriter, r *http.Request, params httprouter.Params, object store.Object) {
	expected, err := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusPreconditionRequired)
		return
	}
	p.waitTurn()
	kind := store.Kind(params.ByName("kind"))
	version, done, lost := p.apply(kind, object, store.Version(expected))
	switch {
	case !done:
		w.WriteHeader(http.StatusPreconditionFailed)
	case lost:
		// net/http drops the connection without a word on this panic.
		panic(http.ErrAbortHandler)
	default:
		reply(w, store.Object{Name: object.Name, Version: version})
	}
}

func (p *Platform) apply(kind store.Kind, object store.Object, expected store.Version) (version store.Version, done, lost bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls.Writes++
	if p.objects[kind][object.Name].Version != expected {
		return 0, false, false
	}
	p.version++
	object.Version = p.version
	p.keep(kind, object)
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return p.version, true, true
	}
	return p.version, true, false
}

func (p *Platform) keep(kind store.Kind, object store.Object) {
	if p.objects[kind] == nil {
		p.objects[kind] = map[string]store.Object{}
	}
	if object.Deleted {
		delete(p.objects[kind], object.Name)
	} else {
		p.objects[kind][object.Name] = object
	}
	p.events = append(p.events, event{kind: kind, object: object})
	if excess := len(p.events) - p.config.KeptEvents; excess > 0 {
		p.events = p.events[excess:]
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	p.mutex.Lock()
	p.calls.Reads++
	shown := p.laggedInstances(time.Now().Add(-p.config.InstanceLag))
	p.mutex.Unlock()
	sort.Slice(shown, func(i, j int) bool { return shown[i].Name < shown[j].Name })
	reply(w, shown)
}

func (p *Platform) laggedInstances(at time.Time) []store.Instance {
	shown := []store.Instance{}
	for i := len(p.history) - 1; i >= 0; i-- {
		if p.history[i].from.After(at) {
			continue
		}
		for _, instance := range p.history[i].instances {
			shown = append(shown, instance)
		}
		return shown
	}
	return shown
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

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
