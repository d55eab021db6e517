package entry

import (
	"time"

	"golang.org/x/time/rate"

	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/spec"
)

// linkBurstSeconds is how many seconds' worth of the byte budget may be sent in
// one burst.
const linkBurstSeconds = 2

// chargeLink counts and limits the bytes of a request that leaves the region. A
// request larger than the burst is admitted once the full burst is available.
func (e *Entry) chargeLink(document *spec.Document, region ident.RegionName, size int) *fault.Refusal {
	if region == e.config.Region {
		return nil
	}
	perSecond := float64(document.Regions.LinkBytesPerSecond)
	if perSecond > 0 {
		limiter := e.linkLimiter(document.Service, perSecond)
		reservation := limiter.ReserveN(time.Now(), min(size, limiter.Burst()))
		if wait := reservation.Delay(); wait > 0 {
			reservation.Cancel()
			return fault.New(fault.Overloaded, "the budget of the link to %s is used up", region).WithRetryAfter(wait)
		}
	}
	e.Meter.CountCrossRegionBytes(document.Service, ident.ByteCount(size))
	return nil
}

func (e *Entry) linkLimiter(service ident.ServiceName, perSecond float64) *rate.Limiter {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	limiter, ok := e.linkLimiters[service]
	if !ok || limiter.Limit() != rate.Limit(perSecond) {
		limiter = rate.NewLimiter(rate.Limit(perSecond), int(linkBurstSeconds*perSecond))
		e.linkLimiters[service] = limiter
	}
	return limiter
}
