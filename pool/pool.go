// Package pool holds one process's view of the endpoints of every service: their
// records, this process's outstanding requests, and their failures and latency.
package pool

import (
	"sync"
	"time"

	"crocusstep/ident"
	"crocusstep/rate"
	"crocusstep/store"
)

const (
	// minSuspension is the suspension after consecutive failures; it doubles with each
	// further failure up to maxSuspension.
	minSuspension = 400 * time.Millisecond
	maxSuspension = 6 * time.Second
	// failureRateWeight is the weight of the newest outcome in the failure rate.
	failureRateWeight = 0.15
	// mismatchExclusion is how long an endpoint is excluded after another process
	// responded at its address, or after its deleted record came back with a restore. The
	// store removes its record after three missed heartbeats.
	mismatchExclusion = 4 * time.Second
	// MaxPause limits the pause that an endpoint may ask for: what is longer must be a mistake.
	MaxPause = 24 * time.Hour
	// latencyWeight is the weight of the newest request in the mean latency.
	latencyWeight = 0.2
)

// Stage is the part of a request that an endpoint serves.
type Stage string

const (
	// Combined endpoints serve whole requests.
	Combined Stage = ""
	// Prefill endpoints compute the KV cache of prompts.
	Prefill Stage = "prefill"
	// Decode endpoints generate the output.
	Decode Stage = "decode"
)

// Revision is the version of the endpoint records in the store; it only increases, also
// across a restore of the store.
type Revision = store.Version

// Endpoint is the record of a back end in the store.
type Endpoint struct {
	Name ident.EndpointName `json:"name"`
	// StartMillis is the Unix millisecond of the process start; it differs between
	// processes of the same name.
	StartMillis int64             `json:"born,omitempty"`
	Service     ident.ServiceName `json:"service"`
	Address     ident.Address     `json:"address"`
	Zone        ident.ZoneName    `json:"zone"`
	Stage       Stage             `json:"stage,omitempty"`
	// Version is that of the process's software.
	Version ident.SoftwareVersion `json:"version,omitempty"`
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int `json:"slots"`
	// Draining endpoints accept no new requests.
	Draining bool `json:"leaving,omitempty"`
}

// Load is the load that an endpoint's keeper reported last.
type Load struct {
	// Headroom is that of the keeper's ReserveResponse: the memory in tokens left at the
	// expected peak, negative if requests wait.
	Headroom ident.TokenCount
	// PrefillBacklog is the time until the scheduled prefills have ended.
	PrefillBacklog time.Duration
	// PrefillSlowdown is the ratio of measured to nominal prefill time, zero if unknown.
	PrefillSlowdown float64
	ReportedAt      time.Time
}

// Member is a copy of an endpoint's record and of its state in this process.
type Member struct {
	Endpoint
	// Outstanding is the number of this process's requests in progress there.
	Outstanding int
	// PromptTokens is the sum of their prompt tokens.
	PromptTokens ident.TokenCount
	// FailureRate is a moving average of the share of failed requests.
	FailureRate float64
	// MeanLatency is a moving average of the request duration, zero if unknown.
	MeanLatency time.Duration
	// Suspended members have failed several times in a row.
	Suspended bool
	// Lapsed members have lost their record in an outage of the store.
	Lapsed bool
	// Limit is what the process takes from all relays together, zero if it states none.
	Limit rate.PerSecond
	// OverLimit members have no permit for a request within their limit for now.
	OverLimit bool
	Load      Load
}

type member struct {
	endpoint    Endpoint
	outstanding int
	tokens      ident.TokenCount
	failureRate float64
	meanLatency time.Duration
	// consecutiveFailures counts failures since the last success.
	consecutiveFailures int
	suspendedUntil      time.Time
	// lapsedAt is when the record disappeared in an outage, or zero.
	lapsedAt time.Time
	// excludedUntil ends the exclusion after a mismatch.
	excludedUntil time.Time
	// pausedUntil ends the pause that the process has asked for, or is zero.
	pausedUntil time.Time
	// leaving is set once the process has said so itself, whatever its record says.
	leaving bool
	limit   limit
	load    Load
}

// Pool is safe for concurrent use.
type Pool struct {
	mutex   sync.Mutex
	members map[ident.EndpointName]*member
	// latestStart is the latest StartMillis of any process at an address.
	latestStart map[ident.Address]int64
	// deleted holds the processes whose records were deleted within deletedTTL.
	deleted map[ident.EndpointName]deletedProcess
	// revision is that of the newest state applied.
	revision Revision
	loaded   bool
	// covered is the part of the past whose software versions are members' or in versions.
	covered coverage
	// versions holds the software versions of processes that have ended.
	versions versionHistory
	running  runningVersions
	// acknowledged holds the software versions that members run.
	acknowledged acknowledgements
	// changeLog holds the changes after baseRevision, in order.
	changeLog    []loggedChange
	baseRevision Revision
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		members:     map[ident.EndpointName]*member{},
		latestStart: map[ident.Address]int64{},
		deleted:     map[ident.EndpointName]deletedProcess{},
		versions:    versionHistory{},

		acknowledged: acknowledgements{},
	}
}

// Loaded reports whether any snapshot has been applied.
func (p *Pool) Loaded() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.loaded
}

// Members returns the members of a service and stage that accept new requests.
func (p *Pool) Members(service ident.ServiceName, stage Stage) []Member {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var list []Member
	for _, m := range p.members {
		if m.endpoint.Service == service && m.endpoint.Stage == stage && m.accepts() &&
			!now.Before(m.excludedUntil) && !now.Before(m.pausedUntil) && !p.replaced(m) {
			list = append(list, m.snapshot(now))
		}
	}
	return list
}

// accepts reports whether the process accepts new requests.
func (m *member) accepts() bool { return !m.endpoint.Draining && !m.leaving }

// runs reports whether the member is the process of a record.
func (m *member) runs(e Endpoint) bool {
	return m.endpoint.StartMillis == e.StartMillis && m.endpoint.Address == e.Address
}

// replaced reports whether a process that started later has the same address.
func (p *Pool) replaced(m *member) bool {
	return m.endpoint.StartMillis < p.latestStart[m.endpoint.Address]
}

func (m *member) snapshot(now time.Time) Member {
	return Member{
		Endpoint:     m.endpoint,
		Outstanding:  m.outstanding,
		PromptTokens: m.tokens,
		FailureRate:  m.failureRate,
		MeanLatency:  m.meanLatency,
		Suspended:    now.Before(m.suspendedUntil),
		Lapsed:       !m.lapsedAt.IsZero(),
		Limit:        m.limit.rate,
		OverLimit:    now.Before(m.limit.deniedUntil),
		Load:         m.load,
	}
}

// Usable reports whether this process of the endpoint still accepts new requests.
func (p *Pool) Usable(e Endpoint) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m, known := p.members[e.Name]
	return known && m.runs(e) && m.endpoint.Stage == e.Stage && m.accepts() && !time.Now().Before(m.pausedUntil)
}

// Pause excludes a process until a time, unless it is excluded for longer. It reports whether
// the process is a member.
func (p *Pool) Pause(e Endpoint, until time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m, known := p.members[e.Name]
	if !known || !m.runs(e) {
		return false
	}
	if until.After(m.pausedUntil) {
		m.pausedUntil = until
	}
	return true
}

// PausedUntil returns when the first paused member of a service and stage accepts requests
// again. It reports false if any member accepts requests now, or none will.
func (p *Pool) PausedUntil(service ident.ServiceName, stage Stage) (first time.Time, paused bool) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, m := range p.members {
		if m.endpoint.Service != service || m.endpoint.Stage != stage || !m.accepts() || p.replaced(m) {
			continue
		}
		if !now.Before(m.pausedUntil) {
			return time.Time{}, false
		}
		if !paused || m.pausedUntil.Before(first) {
			first, paused = m.pausedUntil, true
		}
	}
	return first, paused
}

// MarkLeaving records that a process accepts no new requests, until another process has its
// name. It reports whether that is news.
func (p *Pool) MarkLeaving(e Endpoint) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m, known := p.members[e.Name]
	if !known || !m.runs(e) || m.leaving {
		return false
	}
	m.leaving = true
	return true
}

// UpdateLoad stores the load of an endpoint unless a newer one is known.
func (p *Pool) UpdateLoad(name ident.EndpointName, load Load) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if m, known := p.members[name]; known && load.ReportedAt.After(m.load.ReportedAt) {
		m.load = load
	}
}

// Outcome is what the end of a request says about its endpoint.
type Outcome int

const (
	// Neutral outcomes say nothing about the endpoint, such as a caller's disconnect.
	Neutral Outcome = iota
	// Success is the outcome of a request that the endpoint served.
	Success
	// Failed is the outcome of a request that failed at the endpoint.
	Failed
	// Unreachable is a refused or lost connection; it suspends the endpoint immediately.
	Unreachable
	// Mismatch excludes the endpoint for a while: another process has its address, or
	// it serves another stage.
	Mismatch
)

// Begin counts a request at an endpoint as outstanding until end is called with its
// outcome and duration. Further calls of end have no effect.
func (p *Pool) Begin(e Endpoint, tokens ident.TokenCount) (end func(Outcome, time.Duration)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m, known := p.members[e.Name]
	if !known {
		return func(Outcome, time.Duration) {}
	}
	m.outstanding++
	m.tokens += tokens
	var once sync.Once
	return func(o Outcome, duration time.Duration) {
		once.Do(func() {
			p.mutex.Lock()
			defer p.mutex.Unlock()
			m.outstanding--
			m.tokens -= tokens
			m.recordOutcome(o, duration, time.Now())
		})
	}
}

func (m *member) recordOutcome(o Outcome, duration time.Duration, now time.Time) {
	switch o {
	case Neutral:
		return
	case Success:
		m.consecutiveFailures = 0
		m.suspendedUntil = time.Time{}
		m.failureRate -= failureRateWeight * m.failureRate
		if m.meanLatency == 0 {
			m.meanLatency = duration
		} else {
			m.meanLatency += time.Duration(latencyWeight * float64(duration-m.meanLatency))
		}
		return
	}
	if o == Mismatch {
		m.excludedUntil = now.Add(mismatchExclusion)
		return
	}
	m.failureRate += failureRateWeight * (1 - m.failureRate)
	m.consecutiveFailures++
	if o == Unreachable || m.consecutiveFailures > 2 {
		m.suspendedUntil = now.Add(min(minSuspension<<min(m.consecutiveFailures, 8), maxSuspension))
	}
}
