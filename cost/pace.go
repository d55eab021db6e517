package cost

import (
	"sync"
	"time"

	"crocusstep/ident"
)

// Paces holds how long the engines of one service take for a token of an output, as seen by those
// who receive the outputs. It is safe for concurrent use.
type Paces struct {
	mutex   sync.Mutex
	engines map[ident.EndpointName]knownPace
}

type knownPace struct {
	process  Process
	perToken time.Duration
	at       time.Time
}

// NewPaces returns the paces of a service of which nothing is known.
func NewPaces() *Paces { return &Paces{engines: map[ident.EndpointName]knownPace{}} }

// Observe stores the newest pace of an engine. Paces that are not positive are ignored.
func (p *Paces) Observe(name ident.EndpointName, process Process, perToken time.Duration, now time.Time) {
	if perToken <= 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, found := p.engines[name]; !found {
		p.expire(now)
	}
	p.engines[name] = knownPace{process: process, perToken: perToken, at: now}
}

// expire removes paces that are no longer used, which bounds their number by that of the engines.
func (p *Paces) expire(now time.Time) {
	for name, known := range p.engines {
		if now.Sub(known.at) > speedTTL {
			delete(p.engines, name)
		}
	}
}

// Of returns the time that an engine takes for a token, zero if that is unknown.
func (p *Paces) Of(name ident.EndpointName, process Process, now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known := p.engines[name]; known.process == process && now.Sub(known.at) <= speedTTL {
		return known.perToken
	}
	return 0
}

// Range returns the times that the fastest and the usual engine take for a token, zeros if no pace
// is known.
func (p *Paces) Range(now time.Time) (fastest, usual time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var values []float64
	for _, known := range p.engines {
		if now.Sub(known.at) <= speedTTL {
			values = append(values, float64(known.perToken))
		}
	}
	if len(values) == 0 {
		return 0, 0
	}
	usual = time.Duration(middle(values))
	return time.Duration(values[0]), usual
}
