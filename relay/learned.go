package relay

import (
	"context"
	"sync"
	"time"

	"crocusstep/cost"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/memory"
	"crocusstep/pool"
)

const (
	// busyWeight is the weight of the newest response in the share of busy engines, so that it
	// covers about 50 responses.
	busyWeight = 0.02
	// maxPrefillProbes limits the prefill endpoints that are asked for a slot without a wait.
	maxPrefillProbes = 4
	// idleBacklog is the backlog of an engine that counts as idle: less than the prefill of a
	// short prompt.
	idleBacklog = 15 * time.Millisecond
	// movedDelay is the shortest expected gain for which another endpoint is asked: the round
	// trip to another zone.
	movedDelay = 3 * time.Millisecond
)

// learnedCosts is what a relay has learned of costs from keepers' responses and complete outputs.
type learnedCosts struct {
	mutex    sync.Mutex
	services map[ident.ServiceName]*serviceCosts
}

// serviceCosts is what was learned of one service with engines.
type serviceCosts struct {
	speeds  *cost.Speeds
	outputs *cost.Outputs

	mutex sync.Mutex
	// busyPrefill is the share of prefill engines that had a backlog when they were asked,
	// busyDecode the mean share of memory in use, both of the newest responses.
	busyPrefill, busyDecode float64
}

func newLearnedCosts() *learnedCosts {
	return &learnedCosts{services: map[ident.ServiceName]*serviceCosts{}}
}

func (l *learnedCosts) service(name ident.ServiceName) *serviceCosts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s, ok := l.services[name]
	if !ok {
		s = &serviceCosts{speeds: cost.NewSpeeds(), outputs: cost.NewOutputs()}
		l.services[name] = s
	}
	return s
}

func (c *serviceCosts) busy(stage pool.Stage) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if stage == pool.Prefill {
		return c.busyPrefill
	}
	return c.busyDecode
}

func (c *serviceCosts) addBusy(stage pool.Stage, share float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if stage == pool.Prefill {
		c.busyPrefill += busyWeight * (share - c.busyPrefill)
	} else {
		c.busyDecode += busyWeight * (min(1, max(0, share)) - c.busyDecode)
	}
}

// outputKind is what the lengths of outputs are learned by.
func (s *stream) outputKind() cost.Kind {
	return cost.Kind{Route: s.route.Name, Workspace: s.request.Workspace}
}

// estimateOutput predicts the output from the caller's estimate and the outputs of the service;
// with learned costs, from the hints and outputs of the route and the workspace.
func (s *stream) estimateOutput() memory.LengthEstimate {
	p := s.request.Prompt
	predicted := s.lengthEstimator(s.service.Name).Estimate(p.EstimatedOutput, p.MaxOutput)
	if !s.config.LearnedCosts {
		return predicted
	}
	return s.learned.service(s.service.Name).outputs.Estimate(s.outputKind(), p.EstimatedOutput, predicted)
}

// observeOutput learns from a complete output.
func (s *stream) observeOutput(output ident.TokenCount) {
	p := s.request.Prompt
	hints := s.lengthEstimator(s.service.Name)
	if s.config.LearnedCosts {
		s.Meter.RecordCostError(s.service.Name, "output", ratio(float64(output), float64(s.estimateOutput().Median)))
		predicted := hints.Estimate(p.EstimatedOutput, p.MaxOutput).Median
		s.learned.service(s.service.Name).outputs.Observe(s.outputKind(), p.EstimatedOutput, predicted, output)
	}
	hints.Observe(p.EstimatedOutput, output)
}

// observePrefill compares the duration of a prefill with what was expected.
func (s *stream) observePrefill(m pool.Member, backlog, actual time.Duration) {
	if s.config.LearnedCosts {
		expected := backlog + s.requestCost(pool.Prefill, time.Now()).PrefillWork(m)
		s.Meter.RecordCostError(s.service.Name, "prefill", ratio(float64(actual), float64(expected)))
	}
}

func ratio(actual, predicted float64) float64 { return actual / max(1, predicted) }

// requestCost predicts what the request costs the engines of a stage.
func (s *stream) requestCost(stage pool.Stage, now time.Time) pool.RequestCost {
	learned := s.learned.service(s.service.Name)
	return pool.RequestCost{
		Speeds:   learned.speeds.View(now),
		Prompt:   s.request.Prompt.Tokens,
		Output:   s.estimateOutput().Median,
		Capacity: s.service.Engine.KVCapacity,
		Busy:     learned.busy(stage),
	}
}

// learnDecode learns from the response of a decode engine's keeper.
func (s *stream) learnDecode(m pool.Member, response keeper.ReserveResponse) {
	if response.Speed == nil {
		return
	}
	learned := s.learned.service(s.service.Name)
	learned.speeds.Learn(m.Name, processOf(m), *response.Speed, time.Now())
	if response.Capacity > 0 {
		learned.addBusy(pool.Decode, 1-float64(response.Headroom)/float64(response.Capacity))
	}
	if response.Granted {
		now := time.Now()
		costs := s.requestCost(pool.Decode, now)
		s.Log.Info("decode chosen by cost", "request", s.request.Attempt, "endpoint", m.Name, "zone", m.Zone, "output", costs.Output,
			"work", costs.DecodeWork(m), "free-before", m.Load.Headroom, "report-age", reportAge(m, now), "free", response.Headroom, "busy", costs.Busy)
	}
}

// learnPrefill learns from the response of a prefill engine's keeper.
func (s *stream) learnPrefill(m pool.Member, response keeper.PrefillResponse) {
	if response.Speed == nil {
		return
	}
	learned := s.learned.service(s.service.Name)
	learned.speeds.Learn(m.Name, processOf(m), *response.Speed, time.Now())
	share := 0.0
	if response.Backlog > idleBacklog {
		share = 1
	}
	learned.addBusy(pool.Prefill, share)
}

// reportLapse tells the keeper of a prefill endpoint that a prompt could not be fetched from it.
func (s *stream) reportLapse(e pool.Endpoint) {
	if !s.config.LearnedCosts || s.keeperUnreachable(e.Name) {
		return
	}
	request := keeper.PrefillRequest{Attempt: s.request.Attempt, Lapsed: true}
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if _, err := s.config.Keepers.SchedulePrefill(ctx, e.Address, request); err != nil {
			s.Log.Info("a keeper was not told of a prompt that could not be fetched", "request", request.Attempt, "endpoint", e.Name, "error", err)
		}
	})
}

func processOf(m pool.Member) cost.Process {
	return cost.Process{StartMillis: m.StartMillis, Version: m.Version}
}

// rankDecode sorts decode endpoints for the request.
func (s *stream) rankDecode(members []pool.Member) []pool.Member {
	now := time.Now()
	if !s.config.LearnedCosts || !s.disaggregated() {
		return s.config.Topology.RankDecode(members, now)
	}
	return s.config.Topology.RankDecodeByCost(members, now, s.requestCost(pool.Decode, now), maxDecodeTries)
}

// pickPrefill ranks prefill endpoints for the request and asks for a slot.
func (s *stream) pickPrefill(ctx context.Context, members []pool.Member, decodeZone ident.ZoneName, wait time.Duration) prefillSlot {
	now := time.Now()
	if !s.config.LearnedCosts {
		return s.schedulePrefill(ctx, s.config.Topology.RankPrefill(members, decodeZone, now), wait)
	}
	costs := s.requestCost(pool.Prefill, now)
	members = s.config.Topology.RankPrefillByCost(members, decodeZone, now, costs)
	next := s.probePrefill(ctx, members, decodeZone, costs)
	if !next.granted && ctx.Err() == nil {
		// What the probes found decides where to wait.
		members, costs = s.refreshed(members), s.requestCost(pool.Prefill, time.Now())
		next = s.schedulePrefill(ctx, s.config.Topology.RankPrefillByCost(members, decodeZone, time.Now(), costs), wait)
	}
	if next.granted {
		s.Log.Info("prefill chosen by cost", "request", s.request.Attempt, "endpoint", next.member.Name, "zone", next.member.Zone,
			"prompt", costs.Prompt, "backlog", next.backlog, "work", costs.PrefillWork(next.member),
			"report-age", reportAge(next.member, now), "busy", costs.Busy, "candidates", len(members))
	}
	return next
}

// probePrefill asks the cheapest endpoints for a slot without a wait, as long as the next one would
// be better than waiting at the best of those asked.
func (s *stream) probePrefill(ctx context.Context, members []pool.Member, decodeZone ident.ZoneName, costs pool.RequestCost) prefillSlot {
	best := time.Duration(-1)
	for _, m := range members[:min(maxPrefillProbes, len(members))] {
		idle := m
		idle.Load = pool.Load{ReportedAt: time.Now()}
		lowest, _ := s.config.Topology.PrefillCost(idle, decodeZone, time.Now(), costs)
		if m.Suspended || m.OverLimit || best >= 0 && lowest+movedDelay >= best {
			continue
		}
		slot := s.schedulePrefill(ctx, []pool.Member{m}, idleBacklog)
		if slot.granted || ctx.Err() != nil {
			return slot
		}
		if slot.availableLater {
			if end := lowest + slot.backlog; best < 0 || end < best {
				best = end
			}
		}
	}
	return prefillSlot{}
}

// refreshed returns the members with their newest loads.
func (s *stream) refreshed(members []pool.Member) []pool.Member {
	current := map[ident.EndpointName]pool.Member{}
	for _, m := range s.config.Pool.Members(s.service.Name, pool.Prefill) {
		current[m.Name] = m
	}
	var list []pool.Member
	for _, m := range members {
		if now, found := current[m.Name]; found {
			list = append(list, now)
		}
	}
	return list
}

// reportAge returns the age of the report that a choice was based on, or -1 without one.
func reportAge(m pool.Member, now time.Time) time.Duration {
	if m.Load.ReportedAt.IsZero() {
		return -1
	}
	return now.Sub(m.Load.ReportedAt)
}

// nominalStall returns how long a local prefill at an endpoint may stall its other streams, in the
// time that an engine of usual speed takes.
func (s *stream) nominalStall(m pool.Member) time.Duration {
	stall := s.maxStall()
	if !s.config.LearnedCosts {
		return stall
	}
	view := s.learned.service(s.service.Name).speeds.View(time.Now())
	return time.Duration(float64(stall) / max(1, view.RelativeStep(m.Name, processOf(m))))
}
