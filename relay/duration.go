package relay

import (
	"sync"
	"time"

	"crocusstep/cost"
	"crocusstep/ident"
	"crocusstep/pool"
	"crocusstep/table"
)

const (
	// durationWindow is how long the longest duration of a service's calls counts at least.
	durationWindow = time.Minute
	// paceEvents is the number of events from which on a try shows the pace of its engine: one, and
	// those that arrive after the first.
	paceEvents = 8
	// maxOutputTime is above any deadline. Callers may state lengths of any size.
	maxOutputTime = 24 * time.Hour
)

// durations holds how long the requests of each service take, as this relay has seen.
type durations struct {
	mutex sync.Mutex
	// longest is in nanoseconds, of complete responses without a predictable length.
	longest map[serviceKind]*recentMaximum
	// paces are those of the engines that make predictable outputs.
	paces map[ident.ServiceName]*cost.Paces
}

// serviceKind is what durations are learned by: streams of a service take longer than its calls.
type serviceKind struct {
	service ident.ServiceName
	kind    table.Kind
}

func newDurations() *durations {
	return &durations{longest: map[serviceKind]*recentMaximum{}, paces: map[ident.ServiceName]*cost.Paces{}}
}

func (d *durations) longestOf(service ident.ServiceName, kind table.Kind) *recentMaximum {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	key := serviceKind{service: service, kind: kind}
	m, ok := d.longest[key]
	if !ok {
		m = &recentMaximum{window: durationWindow}
		d.longest[key] = m
	}
	return m
}

func (d *durations) pacesOf(service ident.ServiceName) *cost.Paces {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p, ok := d.paces[service]
	if !ok {
		p = cost.NewPaces()
		d.paces[service] = p
	}
	return p
}

// observeDuration learns from a complete response without a predictable length.
func (e *exchange) observeDuration(duration time.Duration) {
	if e.route.Kind == table.Streaming && e.disaggregated() {
		return
	}
	e.durations.longestOf(e.service.Name, e.route.Kind).record(int(duration), time.Now())
}

// observePace learns from the numbered events of the current try. The first ones may have been made
// long before they arrived together, so only those after them count.
func (s *stream) observePace() {
	if !s.disaggregated() || s.tryEvents == 0 {
		return
	}
	perEvent := int64(s.service.Engine.TokensPerEvent)
	tokens := s.generated.Load() - s.tokensBefore - int64(s.firstEvents)*perEvent
	if tokens <= 0 || tokens < (paceEvents-1)*perEvent {
		return
	}
	process := cost.Process{StartMillis: s.source.StartMillis, Version: s.source.Version}
	s.durations.pacesOf(s.service.Name).Observe(s.source.Name, process, s.lastEvent.Sub(s.tryBegan)/time.Duration(tokens), time.Now())
}

// longestOutput returns the time that an engine most likely does not exceed for the rest of the
// output, unless its pace or the length is unknown. The engine is the fastest one if m is nil.
func (s *stream) longestOutput(m *pool.Member) (longest time.Duration, known bool) {
	pace, output := s.pace(m), s.estimateOutput()
	if pace == 0 || !output.IsKnown() {
		return 0, false
	}
	made := s.resumeTokens()
	rest := float64(output.Longest(made)-made) * float64(pace)
	return time.Duration(min(rest, float64(maxOutputTime))), true
}

// pace returns the time that an engine takes for a token, zero if it is unknown. What was seen of
// its outputs goes before what its keeper says.
func (s *stream) pace(m *pool.Member) time.Duration {
	now := time.Now()
	paces := s.durations.pacesOf(s.service.Name)
	fastest, usual := paces.Range(now)
	if m == nil {
		return fastest
	}
	if pace := paces.Of(m.Name, processOf(*m), now); pace > 0 {
		return pace
	}
	if step := s.learned.service(s.service.Name).speeds.View(now).Step(m.Name, processOf(*m)); step > 0 {
		return step
	}
	return usual
}
