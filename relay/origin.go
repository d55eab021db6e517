package relay

import (
	"context"
	"sync"
	"time"

	"crocusstep/common"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/origin"
)

const (
	// originCopies is the number of keepers that hold the origin of a stream.
	originCopies = 3
	// originInterval is the time between two checks for origins that are to be sent to keepers.
	originInterval = 250 * time.Millisecond
	// maxTakeUpDelay is how long after its end a stream may be taken up again if neither routes nor
	// callers state a longer time than 14 s.
	maxTakeUpDelay = 15 * time.Second
	// takeUpMargin is added to the longest time for which a caller waits for a stream.
	takeUpMargin = time.Second
	// deadlineWindow is how long the longest deadline that a caller has stated counts at least.
	deadlineWindow = time.Minute
)

// originLog holds the origins of the streams that this relay has begun. They are sent to
// keepers unless all relays can know that their service has a single software version.
type originLog struct {
	book *origin.Book

	mutex sync.Mutex
	// unsent holds the origins that were not sent to keepers.
	unsent map[ident.AttemptID]*begunStream
}

// begunStream is a stream that has brought an event.
type begunStream struct {
	service ident.ServiceName
	version ident.SoftwareVersion
	// endedAt is zero while the stream lasts.
	endedAt time.Time
}

func newOriginLog() *originLog {
	return &originLog{book: origin.NewBook(), unsent: map[ident.AttemptID]*begunStream{}}
}

// begin records a stream's origin and returns a function to call at its end.
func (l *originLog) begin(attempt ident.AttemptID, service ident.ServiceName, version ident.SoftwareVersion) (end func()) {
	l.book.Record([]origin.Origin{{Attempt: attempt, Version: version}}, time.Now())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b := &begunStream{service: service, version: version}
	l.unsent[attempt] = b
	return func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		b.endedAt = time.Now()
	}
}

// recordDeadline records how long the caller of a stream that may be taken up waits.
func (r *Relay) recordDeadline(service ident.ServiceName, wait time.Duration) {
	r.mutex.Lock()
	m, known := r.longestWaits[service]
	if !known {
		m = &recentMaximum{window: deadlineWindow}
		r.longestWaits[service] = m
	}
	r.mutex.Unlock()
	m.record(int(wait), time.Now())
}

// takeUpDelay returns how long after its end a stream of a service may be taken up again. Routes move
// between services, so all routes' timeouts count.
func (r *Relay) takeUpDelay(service ident.ServiceName) time.Duration {
	longest := time.Duration(0)
	if t := r.Table(); t != nil {
		longest = t.LongestStream
	}
	r.mutex.Lock()
	m, known := r.longestWaits[service]
	r.mutex.Unlock()
	if known {
		longest = max(longest, time.Duration(m.highest()))
	}
	return max(maxTakeUpDelay, longest+takeUpMargin)
}

// takeUnsent removes and returns the origins of services for which due returns true, and drops
// those that nobody can ask for any more.
func (l *originLog) takeUnsent(now time.Time, delay func(ident.ServiceName) time.Duration, due func(ident.ServiceName) bool) (list []origin.Origin) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for attempt, b := range l.unsent {
		switch {
		case due(b.service):
			list = append(list, origin.Origin{Attempt: attempt, Version: b.version})
			delete(l.unsent, attempt)
		case !b.endedAt.IsZero() && now.Sub(b.endedAt) > delay(b.service):
			delete(l.unsent, attempt)
		}
	}
	return list
}

// SendOrigins sends origins to keepers until the context ends.
func (r *Relay) SendOrigins(ctx context.Context) {
	for ctx.Err() == nil {
		common.Sleep(ctx, originInterval)
		r.sendOrigins(ctx)
	}
}

// sendOrigins sends the origins of services that are not known to have had a single version
// lately.
func (r *Relay) sendOrigins(ctx context.Context) {
	due := map[ident.ServiceName]bool{}
	batches := map[ident.Address][]origin.Origin{}
	for _, o := range r.origins.takeUnsent(time.Now(), r.takeUpDelay, func(service ident.ServiceName) bool {
		if _, known := due[service]; !known {
			_, single := r.config.Pool.SingleVersion(service, r.takeUpDelay(service))
			due[service] = !single
		}
		return due[service]
	}) {
		for _, address := range r.keepersFor(string(o.Attempt), originCopies) {
			batches[address] = append(batches[address], o)
		}
	}
	for address, batch := range batches {
		r.tasks.Go(func() {
			if _, err := r.config.Keepers.Origin(ctx, address, keeper.OriginRequest{Record: batch}); err != nil {
				r.Log.Info("origins of streams were not sent", "keeper", address, "streams", len(batch), "error", err)
			}
		})
	}
}

// pinVersion finds the software version that began the stream which a caller takes up again. The
// stream may go on at that version only.
func (s *stream) pinVersion(ctx context.Context) *fault.Refusal {
	attempt, version := s.request.Resumes, ident.SoftwareVersion("")
	var search originSearch
	if attempt != "" {
		version = s.origins.book.Version(attempt, time.Now())
	}
	if version == "" && attempt != "" {
		version = s.findOrigin(ctx, attempt, &search)
	}
	current := true
	if version == "" {
		version, current = s.singleVersion(ctx)
	}
	s.pinned.Store(&version)
	s.Log.Info("a stream is taken up", "request", s.request.Attempt, "resumes", attempt, "version", version,
		"keepers", search.responses, "keepers-failed", search.failures, "current", current)
	switch {
	case version == "":
		return s.refuseUnknownVersion(search.failures > 0 || !current)
	case !s.config.Pool.RunsVersion(s.service.Name, version):
		return fault.New(fault.VersionEnded, "no endpoint runs the software version that began the stream")
	}
	return nil
}

// singleVersion returns the software version of all streams that may be taken up now, if the
// service had no other in that time. Current is false if the hubs were needed and most of them did
// not respond: another relay may have begun streams at a version that this one does not know.
func (s *stream) singleVersion(ctx context.Context) (version ident.SoftwareVersion, current bool) {
	if _, _, possible := s.config.Pool.NextSingleVersion(s.service.Name, s.takeUpDelay(s.service.Name)); !possible {
		return "", true
	}
	if s.config.Refresh == nil || !s.config.Refresh(ctx) {
		return "", false
	}
	version, _ = s.config.Pool.SingleVersion(s.service.Name, s.takeUpDelay(s.service.Name))
	return version, true
}

// refuseUnknownVersion refuses to go on with a stream of an unknown software version. It asks the
// caller to return only if that can help in time: when keepers have not responded, or once the
// service has had a single version for long enough.
func (s *stream) refuseUnknownVersion(unanswered bool) *fault.Refusal {
	refusal := fault.New(fault.VersionUnknown, "the software version that began the stream is not known")
	if unanswered {
		return refusal.WithRetryAfter(s.retryAfterJitter(minRetryAfter))
	}
	_, at, possible := s.config.Pool.NextSingleVersion(s.service.Name, s.takeUpDelay(s.service.Name))
	if wait := time.Until(at); possible && wait < s.timeLeft() {
		return refusal.WithRetryAfter(max(wait, 0) + s.retryAfterJitter(minRetryAfter))
	}
	return refusal
}

// originSearch counts the keepers that were asked for an origin.
type originSearch struct {
	responses, failures int
}

// findOrigin asks the keepers that may hold the origin of an attempt, and returns the first version
// found.
func (r *Relay) findOrigin(ctx context.Context, attempt ident.AttemptID, search *originSearch) ident.SoftwareVersion {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepers := r.keepersFor(string(attempt), originCopies)
	found := make(chan keeper.OriginResponse, len(keepers))
	failed := make(chan error, len(keepers))
	for _, address := range keepers {
		r.tasks.Go(func() {
			response, err := r.config.Keepers.Origin(ctx, address, keeper.OriginRequest{Attempt: attempt})
			if err != nil {
				failed <- err
				return
			}
			found <- response
		})
	}
	for range keepers {
		select {
		case <-failed:
			search.failures++
		case response := <-found:
			search.responses++
			if response.Version != "" {
				return response.Version
			}
		}
	}
	return ""
}

// beginVersion pins the stream to the software version of its first event.
func (s *stream) beginVersion() {
	version := s.source.Version
	if !s.pinned.CompareAndSwap(nil, &version) {
		version = *s.pinned.Load()
	}
	if version == "" || s.endOrigin != nil {
		return
	}
	attempt := s.request.Attempt
	if s.request.Resumes != "" {
		attempt = s.request.Resumes
	}
	s.endOrigin = s.origins.begin(attempt, s.service.Name, version)
	if _, single := s.config.Pool.SingleVersion(s.service.Name, s.takeUpDelay(s.service.Name)); !single {
		// Calls to keepers have timeouts of their own; the record outlives the request.
		s.sendOrigins(context.Background())
	}
}

// runsVersion reports whether the stream may go on at a software version.
func (e *exchange) runsVersion(version ident.SoftwareVersion) bool {
	pinned := e.pinned.Load()
	return pinned == nil || version != "" && version == *pinned
}
