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
	// triedPrefills and triedDecodes bound how many endpoints one attempt asks
	// before it waits or gives up.
	triedPrefills = 3
	triedDecodes  = 3
	// slotWait is how long an attempt waits at one decode endpoint before it
	// looks at the others again.
	slotWait = 200 * time.Millisecond
	// slotPause is the least time between two rounds.
	slotPause = 20 * time.Millisecond
	// releaseTimeout bounds the giving back of a place.
	releaseTimeout = time.Second
	// transferAllowance is the time taken for a KV transfer and a first step
	// when estimating whether a target can be met.
	transferAllowance = 100 * time.Millisecond
)

// pair is a prefill turn and a decode slot that an attempt holds.
type pair struct {
	prefill roster.Member
	decode  roster.Member
	// prefilled is the tokens ordered to be read.
	prefilled    ident.TokenCount
	prefillEnded func()
	// turnSpent and slotSpent are true once the agent has taken the place back
	// by itself, so that nothing has to be released.
	turnSpent bool
	slotSpent bool
	release   func()
}

// reservePair gets a turn at a prefill endpoint and then, for the time that the
// prefill will finish, a decode slot in the same region. A turn is only asked
// for where the targets can still be met.
func (c *chatRun) reservePair(ctx context.Context, ticket wire.AttemptInfo) (*pair, error) {
	decodes := c.roster.Regions(c.document.Pools.Decode)
	var refusal error = fault.New(fault.NoEndpoint, "no region has endpoints for both steps").After(time.Second)
	for _, region := range route.Regions(c.config.Region, &c.document, c.roster.Regions(c.document.Pools.Prefill)) {
		if !slices.Contains(decodes, region) {
			continue
		}
		if over := c.crossing(&c.document, region, len(c.prompt)); over != nil {
			refusal = over
			continue
		}
		p, err := c.reserveIn(ctx, ticket, region)
		if err == nil {
			return p, nil
		}
		refusal = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, refusal
}

// candidates draws members of a pool; those that have failed this very request
// come last, however well they look.
func (c *chatRun) candidates(name ident.PoolName, region ident.RegionName) []roster.Member {
	members := c.roster.Sample(name, region, route.Choices, c.dice())
	for i := range members {
		if c.failed[members[i].Instance.Endpoint] {
			members[i].Suspended = true
		}
	}
	return members
}

// prefills draws prefill endpoints, and adds those that hold the prompt's
// prefix if they were not drawn.
func (c *chatRun) prefills(region ident.RegionName) []roster.Member {
	members := c.candidates(c.document.Pools.Prefill, region)
	for endpoint := range c.work.Cached {
		drawn := slices.ContainsFunc(members, func(m roster.Member) bool { return m.Instance.Endpoint == endpoint })
		m, ok := c.roster.Member(endpoint)
		if ok && !drawn && !c.failed[endpoint] && m.Instance.Region == region && m.Instance.Pool == c.document.Pools.Prefill {
			members = append(members, m)
		}
	}
	return members
}

func (c *chatRun) reserveIn(ctx context.Context, ticket wire.AttemptInfo, region ident.RegionName) (*pair, error) {
	p := &pair{}
	if err := c.takeTurn(ctx, ticket, region, p); err != nil {
		return nil, err
	}
	if err := c.takeSlot(ctx, ticket, p); err != nil {
		p.prefillEnded()
		c.giveBack(p.prefill, ticket.Attempt)
		return nil, err
	}
	p.release = func() {
		p.prefillEnded()
		if !p.turnSpent {
			c.giveBack(p.prefill, ticket.Attempt)
		}
		if !p.slotSpent {
			c.giveBack(p.decode, ticket.Attempt)
		}
	}
	return p, nil
}

// deadline is the latest time at which a prefill must start for the first
// token to meet its target. A request that was taken on and set back by a
// failure is not given up for that: it only has to beat the caller's patience.
func (c *chatRun) deadline(m roster.Member) time.Time {
	if c.assembler.Next() > 0 {
		return time.Now().Add(c.document.Targets.Patience.Std())
	}
	if c.started || !c.config.Policy.Admits() {
		return c.arrived.Add(c.document.Targets.Patience.Std())
	}
	reading := route.ReadingTime(m, c.tokens-c.work.Cached[m.Instance.Endpoint])
	return c.arrived.Add(c.document.Targets.FirstToken.Std() - reading - transferAllowance)
}

func (c *chatRun) takeTurn(ctx context.Context, ticket wire.AttemptInfo, region ident.RegionName, p *pair) error {
	members := c.prefills(region)
	ranked := c.order(func(policy route.Policy) []roster.Member { return policy.Prefill(members, c.work) })
	var refusal error = fault.New(fault.NoEndpoint, "no prefill endpoint").After(time.Second)
	for _, m := range ranked[:min(triedPrefills, len(ranked))] {
		ticket.Deadline = c.deadline(m)
		ended := c.roster.Began(m.Instance.Endpoint, c.tokens)
		reply, err := wire.Call[wire.Response](ctx, c.config.Peers, m.Instance.Address, wire.ReservePrefillPath, wire.ReservePrefillRequest{Info: ticket, Tokens: c.tokens})
		err = c.judge(ctx, m, reply.Load, reply.Fault, err)
		if err == nil {
			p.prefill = m
			p.prefillEnded = ended
			return nil
		}
		ended()
		refusal = err
		if ctx.Err() != nil {
			break
		}
	}
	return refusal
}

// takeSlot first asks several decode endpoints for a slot at once and then
// waits at the best; it looks again at others every slotWait.
func (c *chatRun) takeSlot(ctx context.Context, ticket wire.AttemptInfo, p *pair) error {
	ticket.Deadline = c.deadline(p.prefill)
	var refusal error = fault.New(fault.NoEndpoint, "no decode endpoint").After(time.Second)
	for round := 0; round == 0 || time.Now().Before(ticket.Deadline); round++ {
		members := c.candidates(c.document.Pools.Decode, p.prefill.Instance.Region)
		ranked := c.order(func(policy route.Policy) []roster.Member { return policy.Decode(members) })
		for i, m := range ranked[:min(triedDecodes, len(ranked))] {
			err := c.askSlot(ctx, ticket, m, slotPatience(round, i), c.holdFor(p.prefill))
			if err == nil {
				p.decode = m
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
		common.Pause(ctx, c.roundPause(refusal))
	}
	if fault.Is(refusal, fault.EndpointBusy) {
		return fault.New(fault.TargetUnreachable, "no decode slot became free in time").After(fault.AsRefusal(refusal).RetryAfter)
	}
	return refusal
}

// roundPause keeps refusals that come at once from turning into a busy loop.
func (c *chatRun) roundPause(refusal error) time.Duration {
	return min(max(fault.AsRefusal(refusal).RetryAfter, slotPause), slotWait)
}

// slotPatience is how long to wait at the i-th choice of a round.
func slotPatience(round, i int) time.Duration {
	if round > 0 && i == 0 {
		return slotWait
	}
	return 0
}

func (c *chatRun) askSlot(ctx context.Context, ticket wire.AttemptInfo, m roster.Member, wait, holdFor time.Duration) error {
	reply, err := wire.Call[wire.Response](ctx, c.config.Peers, m.Instance.Address, wire.ReserveDecodePath, wire.ReserveDecodeRequest{
		Info:        ticket,
		MaxWait:     wait,
		HoldTimeout: holdFor,
	})
	return c.judge(ctx, m, reply.Load, reply.Fault, err)
}

// holdFor is how long a slot must be kept until its decode is ordered, when a
// prefill endpoint reads the prompt: several times the estimate, since one that
// is short wastes the whole prefill, and a slot that is given back does not wait.
func (c *chatRun) holdFor(prefill roster.Member) time.Duration {
	const times = 4
	return times*route.ReadingTime(prefill, c.tokens) + time.Second
}

// giveBack releases a place without holding up the request.
func (c *chatRun) giveBack(m roster.Member, attempt ident.AttemptID) {
	c.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		reply, err := wire.Call[wire.Response](ctx, c.config.Peers, m.Instance.Address, wire.ReleasePath, wire.ReleaseRequest{Attempt: attempt})
		if err == nil {
			c.roster.Observe(reply.Load)
		}
	})
}
