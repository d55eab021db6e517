package relay

import (
	"sync"
	"time"

	"crocusstep/cost"
	"crocusstep/ident"
	"crocusstep/pool"
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
	mutex    sync.Mutex
	services map[ident.ServiceName]*serviceDurations
}

// serviceDurations is what was seen of one service.
type serviceDurations struct {
	// longest is in nanoseconds, of complete responses without a predictable length.
	longest *recentMaximum
	paces   *cost.Paces
}

func newDurations() *durations {
	return &durations{services: map[ident.ServiceName]*serviceDurations{}}
}

func (d *durations) service(name ident.ServiceName) *serviceDurations {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, ok := d.services[name]
	if !ok {
		s = &serviceDurations{longest: &recentMaximum{window: durationWindow}, paces: cost.NewPaces()}
		d.services[name] = s
	}
	return s
}

// observeDuration learns from a complete response.
func (e *exchange) observeDuration(duration time.Duration) {
	e.durations.service(e.service.Name).longest.record(int(duration), time.Now())
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
	s.durations.service(s.service.Name).paces.Observe(s.source.Name, process, s.lastEvent.Sub(s.tryBegan)/time.Duration(tokens), time.Now())
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
	paces := s.durations.service(s.service.Name).paces
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
