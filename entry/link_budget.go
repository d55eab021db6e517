package entry

import (
	"time"

	"golang.org/x/time/rate"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/spec"
)

// linkBurst is the seconds of the byte budget that may leave at once.
const linkBurst = 2

// crossing counts and bounds the bytes of a request that leaves the region. A
// request larger than the burst may leave when the whole burst is there.
func (e *Entry) crossing(document *spec.Document, region ident.RegionName, size int) *fault.Refusal {
	if region == e.config.Region {
		return nil
	}
	perSecond := float64(document.Regions.LinkBytes)
	if perSecond > 0 {
		limiter := e.link(document.Service, perSecond)
		reservation := limiter.ReserveN(time.Now(), min(size, limiter.Burst()))
		if wait := reservation.Delay(); wait > 0 {
			reservation.Cancel()
			return fault.New(fault.Overloaded, "the budget of the link to %s is used up", region).After(wait)
		}
	}
	e.Meter.RegionLink(document.Service, ident.ByteCount(size))
	return nil
}

func (e *Entry) link(service ident.ServiceName, perSecond float64) *rate.Limiter {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	limiter, ok := e.links[service]
	if !ok || limiter.Limit() != rate.Limit(perSecond) {
		limiter = rate.NewLimiter(rate.Limit(perSecond), int(linkBurst*perSecond))
		e.links[service] = limiter
	}
	return limiter
}
