package cost

import (
	"sync"
	"time"

	"crocusstep/ident"
)

// Process is the process of an engine. What was learned of one does not hold for the next, which
// may run other software.
type Process struct {
	StartMillis int64
	Version     ident.SoftwareVersion
}

// Speed is how fast an engine works.
type Speed struct {
	// Slowdown is the ratio of its prefill time to the nominal one, zero if it is unknown.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Step is the time of a decode step under its usual load, zero if it is unknown.
	Step time.Duration `json:"step-ns,omitempty"`
}

// Speeds holds the speeds of the engines of one service, as their keepers have published them. It
// is safe for concurrent use.
type Speeds struct {
	mutex   sync.Mutex
	engines map[ident.EndpointName]knownSpeed
}

type knownSpeed struct {
	process Process
	speed   Speed
	at      time.Time
}

// speedTTL is how long a published speed is used; a relay of a large fleet asks each keeper a few
// times a minute.
const speedTTL = 3 * time.Minute

// NewSpeeds returns the speeds of a service of which nothing is known.
func NewSpeeds() *Speeds { return &Speeds{engines: map[ident.EndpointName]knownSpeed{}} }

// Learn stores what a keeper has published. Parts that it does not know stay as they are, unless
// another process has the name.
func (s *Speeds) Learn(name ident.EndpointName, process Process, speed Speed, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.engines[name]
	if found && known.process == process {
		if speed.Slowdown == 0 {
			speed.Slowdown = known.speed.Slowdown
		}
		if speed.Step == 0 {
			speed.Step = known.speed.Step
		}
	}
	if !found {
		s.expire(now)
	}
	s.engines[name] = knownSpeed{process: process, speed: speed, at: now}
}

// expire removes speeds that are no longer used, which bounds their number by that of the engines.
func (s *Speeds) expire(now time.Time) {
	for name, known := range s.engines {
		if now.Sub(known.at) > speedTTL {
			delete(s.engines, name)
		}
	}
}

// View is the speeds of a service at one moment.
type View struct {
	engines map[ident.EndpointName]knownSpeed
	// typical holds the medians of the known speeds, zero where none is known.
	typical Speed
}

// View returns the current speeds.
func (s *Speeds) View(now time.Time) View {
	v := View{engines: map[ident.EndpointName]knownSpeed{}}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var slowdowns, steps []float64
	for name, known := range s.engines {
		if now.Sub(known.at) > speedTTL {
			continue
		}
		v.engines[name] = known
		if known.speed.Slowdown > 0 {
			slowdowns = append(slowdowns, known.speed.Slowdown)
		}
		if known.speed.Step > 0 {
			steps = append(steps, float64(known.speed.Step))
		}
	}
	if len(slowdowns) > 0 {
		v.typical.Slowdown = middle(slowdowns)
	}
	if len(steps) > 0 {
		v.typical.Step = time.Duration(middle(steps))
	}
	return v
}

// Slowdown returns the ratio of an engine's prefill time to the nominal one: that of the usual
// engine if its own is unknown, and 1 if none is known.
func (v View) Slowdown(name ident.EndpointName, process Process) float64 {
	if known := v.engines[name]; known.process == process && known.speed.Slowdown > 0 {
		return known.speed.Slowdown
	}
	if v.typical.Slowdown > 0 {
		return v.typical.Slowdown
	}
	return 1
}

// Step returns the time of an engine's decode step: that of the usual engine if its own is unknown,
// and zero if none is known.
func (v View) Step(name ident.EndpointName, process Process) time.Duration {
	if known := v.engines[name]; known.process == process && known.speed.Step > 0 {
		return known.speed.Step
	}
	return v.typical.Step
}

// RelativeStep returns an engine's decode step as a multiple of the usual engine's, 1 if it is
// unknown.
func (v View) RelativeStep(name ident.EndpointName, process Process) float64 {
	if v.typical.Step == 0 {
		return 1
	}
	return float64(v.Step(name, process)) / float64(v.typical.Step)
}
