package entry

import (
	"context"
	"slices"
	"time"

	"crocusstep/common"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/roster"
	"crocusstep/route"
	"crocusstep/wire"
)

const (
	// maxPrefillTries and maxDecodeTries limit how many endpoints are asked in
	// one round before the attempt waits or fails.
	maxPrefillTries = 3
	maxDecodeTries  = 3
	// slotWaitTimeout is how long an attempt queues at one decode endpoint
	// before it tries the others again.
	slotWaitTimeout = 200 * time.Millisecond
	// minRoundInterval is the minimum delay between two rounds.
	minRoundInterval = 20 * time.Millisecond
	// releaseTimeout bounds a release request to an agent.
	releaseTimeout = time.Second
	// transferAllowance is the time assumed for the KV transfer and the first
	// decode step when estimating whether a target can be met.
	transferAllowance = 100 * time.Millisecond
)

// reservation holds the slots of one attempt at a prefill and a decode endpoint.
type reservation struct {
	prefill roster.Member
	decode  roster.Member
	// prefillTokens is how many tokens the prefill endpoint was asked to
	// process.
	prefillTokens ident.TokenCount
	prefillDone   func()
	// prefillReleased and decodeReleased are true once the agent has released
	// the slot itself, so that no release request is needed.
	prefillReleased bool
	decodeReleased  bool
	release         func()
}

// reserve reserves a prefill slot and then a decode slot in the same region; the
// decode slot is held during the prefill. It only asks endpoints that can still
// meet the targets.
func (c *chatExchange) reserve(ctx context.Context, info wire.AttemptInfo) (*reservation, error) {
	decodeRegions := c.roster.Regions(c.document.Pools.Decode)
	var refusal error = fault.New(fault.NoEndpoint, "no region has endpoints for both steps").WithRetryAfter(time.Second)
	for _, region := range route.RankRegions(c.config.Region, &c.document, c.roster.Regions(c.document.Pools.Prefill)) {
		if !slices.Contains(decodeRegions, region) {
			continue
		}
		if linkRefusal := c.chargeLink(&c.document, region, len(c.prompt)); linkRefusal != nil {
			refusal = linkRefusal
			continue
		}
		r, err := c.reserveInRegion(ctx, info, region)
		if err == nil {
			return r, nil
		}
		refusal = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, refusal
}

// sampleMembers samples a pool. Members that already failed this request are
// ranked last, whatever their load.
func (c *chatExchange) sampleMembers(name ident.PoolName, region ident.RegionName) []roster.Member {
	members := c.roster.Sample(name, region, route.SampleSize, c.newRand())
	for i := range members {
		if c.failedEndpoints[members[i].Instance.Endpoint] {
			members[i].Suspended = true
		}
	}
	return members
}

// prefillCandidates samples prefill endpoints and adds those that cache a
// prefix of the prompt.
func (c *chatExchange) prefillCandidates(region ident.RegionName) []roster.Member {
	members := c.sampleMembers(c.document.Pools.Prefill, region)
	for endpoint := range c.work.CachedTokens {
		sampled := slices.ContainsFunc(members, func(m roster.Member) bool { return m.Instance.Endpoint == endpoint })
		m, ok := c.roster.Member(endpoint)
		if ok && !sampled && !c.failedEndpoints[endpoint] && m.Instance.Region == region && m.Instance.Pool == c.document.Pools.Prefill {
			members = append(members, m)
		}
	}
	return members
}

func (c *chatExchange) reserveInRegion(ctx context.Context, info wire.AttemptInfo, region ident.RegionName) (*reservation, error) {
	r := &reservation{}
	if err := c.reservePrefill(ctx, info, region, r); err != nil {
		return nil, err
	}
	if err := c.reserveDecode(ctx, info, r); err != nil {
		r.prefillDone()
		c.releaseAsync(r.prefill, info.Attempt)
		return nil, err
	}
	r.release = func() {
		r.prefillDone()
		if !r.prefillReleased {
			c.releaseAsync(r.prefill, info.Attempt)
		}
		if !r.decodeReleased {
			c.releaseAsync(r.decode, info.Attempt)
		}
	}
	return r, nil
}

// prefillDeadline is the latest start of a prefill that still meets the
// first-token target. A request that was accepted and whose attempt then failed
// is not rejected for missing that target; only the service's patience limits
// it.
func (c *chatExchange) prefillDeadline(m roster.Member) time.Time {
	if c.assembler.Next() > 0 {
		return time.Now().Add(c.document.Targets.Patience.Std())
	}
	if c.prefillStarted || !c.config.Policy.RejectsLate() {
		return c.arrived.Add(c.document.Targets.Patience.Std())
	}
	prefillTime := route.PrefillTime(m, c.tokens-c.work.CachedTokens[m.Instance.Endpoint])
	return c.arrived.Add(c.document.Targets.FirstToken.Std() - prefillTime - transferAllowance)
}

func (c *chatExchange) reservePrefill(ctx context.Context, info wire.AttemptInfo, region ident.RegionName, r *reservation) error {
	members := c.prefillCandidates(region)
	ranked := c.rankWith(func(policy route.Policy) []roster.Member { return policy.RankPrefill(members, c.work) })
	var refusal error = fault.New(fault.NoEndpoint, "no prefill endpoint").WithRetryAfter(time.Second)
	for _, m := range ranked[:min(maxPrefillTries, len(ranked))] {
		info.Deadline = c.prefillDeadline(m)
		done := c.roster.TrackRequest(m.Instance.Endpoint, c.tokens)
		request := wire.ReservePrefillRequest{Info: info, Tokens: c.tokens}
		err := c.requestSlot(ctx, m, wire.ReservePrefillPath, request, time.Until(info.Deadline))
		if err == nil {
			r.prefill = m
			r.prefillDone = done
			return nil
		}
		done()
		refusal = err
		if ctx.Err() != nil {
			break
		}
	}
	return refusal
}

// reserveDecode first asks several decode endpoints for a free slot, without
// queueing. In later rounds it queues at the best one, and tries the others
// again every slotWaitTimeout.
func (c *chatExchange) reserveDecode(ctx context.Context, info wire.AttemptInfo, r *reservation) error {
	info.Deadline = c.prefillDeadline(r.prefill)
	var refusal error = fault.New(fault.NoEndpoint, "no decode endpoint").WithRetryAfter(time.Second)
	for round := 0; round == 0 || time.Now().Before(info.Deadline); round++ {
		members := c.sampleMembers(c.document.Pools.Decode, r.prefill.Instance.Region)
		ranked := c.rankWith(func(policy route.Policy) []roster.Member { return policy.RankDecode(members) })
		for i, m := range ranked[:min(maxDecodeTries, len(ranked))] {
			err := c.requestDecodeSlot(ctx, info, m, slotMaxWait(round, i), c.slotHoldTimeout(r.prefill))
			if err == nil {
				r.decode = m
				return nil
			}
			refusal = err
			if ctx.Err() != nil {
				return err
			}
		}
		if len(ranked) == 0 {
			return refusal
		}
		common.Sleep(ctx, c.roundDelay(refusal))
	}
	if fault.Is(refusal, fault.EndpointBusy) {
		return fault.New(fault.TargetUnreachable, "no decode slot became free in time").WithRetryAfter(fault.AsRefusal(refusal).RetryAfter)
	}
	return refusal
}

// roundDelay keeps immediate refusals from causing a busy loop.
func (c *chatExchange) roundDelay(refusal error) time.Duration {
	return min(max(fault.AsRefusal(refusal).RetryAfter, minRoundInterval), slotWaitTimeout)
}

// slotMaxWait is how long to queue at the i-th endpoint of a round.
func slotMaxWait(round, i int) time.Duration {
	if round > 0 && i == 0 {
		return slotWaitTimeout
	}
	return 0
}

func (c *chatExchange) requestDecodeSlot(ctx context.Context, info wire.AttemptInfo, m roster.Member, maxWait, holdTimeout time.Duration) error {
	request := wire.ReserveDecodeRequest{
		Info:        info,
		MaxWait:     maxWait,
		HoldTimeout: holdTimeout,
	}
	return c.requestSlot(ctx, m, wire.ReserveDecodePath, request, maxWait)
}

// requestSlot requests a slot for which the agent waits up to a time. An agent that does not respond
// soon afterwards is silent, so that others can be asked. No prompt was sent, so none has crashed
// the endpoint.
func (c *chatExchange) requestSlot(ctx context.Context, m roster.Member, path string, request any, maxWait time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, max(0, maxWait)+wire.StreamIdleTimeout)
	defer cancel()
	response, err := wire.Call[wire.Response](callCtx, c.config.Peers, m.Instance.Address, path, request)
	if err != nil && ctx.Err() == nil {
		c.recordFailure(m, false)
		return err
	}
	return c.checkResponse(ctx, m, response.Load, response.Fault, err)
}

// slotHoldTimeout is how long a slot is reserved while the prompt is prefilled. It
// is several times the estimate, because a slot that expires early wastes the
// whole prefill, while a slot that is released early costs nothing.
func (c *chatExchange) slotHoldTimeout(prefill roster.Member) time.Duration {
	const holdTimeoutFactor = 4
	return holdTimeoutFactor*route.PrefillTime(prefill, c.tokens) + time.Second
}

// releaseAsync releases a reservation without delaying the request.
func (c *chatExchange) releaseAsync(m roster.Member, attempt ident.AttemptID) {
	c.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		response, err := wire.Call[wire.Response](ctx, c.config.Peers, m.Instance.Address, wire.ReleasePath, wire.ReleaseRequest{Attempt: attempt})
		if err == nil {
			c.roster.UpdateLoad(response.Load)
		}
	})
}
