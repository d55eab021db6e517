package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"crocusstep/burn"
	"crocusstep/fault"
	"crocusstep/ident"
	"crocusstep/ledger"
	"crocusstep/roster"
	"crocusstep/route"
	"crocusstep/spec"
	"crocusstep/wire"
)

// maxActionHosts bounds how many agents one action is offered to. Each offer
// is safe, because the ledger decides whether the action runs.
const maxActionHosts = 3

// callRun serves one call of a plain service.
type callRun struct {
	*Entry
	request  ident.RequestID
	document spec.Document
	call     spec.Call
	arrived  time.Time
	method   string
	path     string
	header   http.Header
	body     []byte
	// key and digest are set for actions.
	key    ident.IdempotencyKey
	digest ident.Digest
	// consulted is true if the last refusal came from the ledger.
	consulted bool
}

// identify finds an action's key and digest.
func (c *callRun) identify(header, path string) *fault.Refusal {
	key, refusal := actionKey(c.call, header, path, c.body)
	if refusal != nil {
		return refusal
	}
	c.key = key
	c.digest = actionDigest(c.call, c.method, c.path, c.body)
	return nil
}

func (c *callRun) serve(ctx context.Context) (wire.CallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.document.Targets.Patience.Std())
	defer cancel()
	c.budget(c.document.Service).Deposit(c.document.Retries.BudgetPercent)
	if c.call.Class == spec.Action {
		return c.action(ctx)
	}
	if c.call.Share && c.method == http.MethodGet {
		return c.sharedLookup(ctx)
	}
	return c.lookup(ctx)
}

// action offers the action to the agents that may own its shard, in the order
// that all entries agree on. Only an offer that was not taken is repeated at
// the next agent; the ledger keeps a lost one from running twice.
func (c *callRun) action(ctx context.Context) (wire.CallReply, error) {
	members := c.reachable()
	shard := ledger.ShardOf(c.key, c.document.Fencing.Shards)
	ranked := route.Rendezvous(members, string(c.document.Service)+"."+strconv.Itoa(shard))
	var failure error = fault.New(fault.NoEndpoint, "the pool has no endpoint").After(time.Second)
	for _, m := range ranked[:min(maxActionHosts, len(ranked))] {
		reply, err := c.offer(ctx, m, c.document.Limits.Actions)
		if err == nil {
			return reply, nil
		}
		failure = err
		c.consulted = reply.Consulted
		if ctx.Err() != nil || reply.Consulted {
			break
		}
	}
	return wire.CallReply{}, failure
}

// sharedLookup joins an identical lookup that is under way. The joint call is
// nobody's own, so it goes on when one of its callers leaves.
func (c *callRun) sharedLookup(ctx context.Context) (wire.CallReply, error) {
	joint := c.shared.DoChan(c.shareKey(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.document.Targets.Patience.Std())
		defer cancel()
		return c.lookup(ctx)
	})
	select {
	case result := <-joint:
		reply, _ := result.Val.(wire.CallReply)
		return reply, result.Err
	case <-ctx.Done():
		return wire.CallReply{}, fault.New(fault.PatienceExceeded, "no answer in time").After(c.spread(0))
	}
}

// shareKey covers everything that the endpoint would see.
func (c *callRun) shareKey() string {
	sum := sha256.New()
	writeParts(sum, string(c.document.Service), c.method, c.path, canonical(c.header))
	return hex.EncodeToString(sum.Sum(nil))
}

// lookup asks endpoints until one answers, within the retry budget.
func (c *callRun) lookup(ctx context.Context) (wire.CallReply, error) {
	ranked := route.Lookup(c.reachable(), c.dice())
	var failure error = fault.New(fault.NoEndpoint, "the pool has no endpoint").After(time.Second)
	for i, m := range ranked[:min(c.document.Retries.Attempts, len(ranked))] {
		if i > 0 && !c.budget(c.document.Service).TryAcquire() {
			break
		}
		reply, err := c.offer(ctx, m, c.document.Limits.Lookups)
		if err == nil {
			return reply, nil
		}
		failure = err
		if ctx.Err() != nil {
			break
		}
	}
	return wire.CallReply{}, failure
}

func (c *callRun) offer(ctx context.Context, m roster.Member, limit int) (wire.CallReply, error) {
	endpoint := m.Instance.Endpoint
	ended := c.roster.Began(endpoint, 0)
	defer ended()
	reply, err := wire.Call[wire.CallReply](ctx, c.config.Peers, m.Instance.Address, wire.CallPath, c.order(limit))
	if reply.Load.Endpoint != "" {
		c.roster.Observe(reply.Load)
	}
	switch {
	case err != nil && ctx.Err() == nil:
		c.roster.Failed(endpoint)
		return reply, fmt.Errorf("the agent at %s: %w", endpoint, err)
	case err != nil:
		return reply, err
	case reply.Fault != nil:
		return reply, reply.Fault
	}
	c.roster.Succeeded(endpoint)
	return reply, nil
}

func (c *callRun) order(limit int) wire.CallOrder {
	return wire.CallOrder{
		Ticket: wire.Ticket{
			Request:   c.request,
			Attempt:   ident.NewAttemptID(),
			Service:   c.document.Service,
			Workspace: c.document.Workspace,
			Weight:    c.document.Weight,
			Priority:  c.document.Priority,
			Deadline:  c.arrived.Add(c.document.Targets.Patience.Std()),
		},
		Class:   c.call.Class,
		Method:  c.method,
		Path:    c.path,
		Header:  c.header,
		Body:    c.body,
		Key:     c.key,
		Digest:  c.digest,
		Limit:   limit,
		Wait:    c.document.Targets.WholeAnswer.Std(),
		Shards:  c.document.Fencing.Shards,
		KeepFor: c.document.Fencing.KeepRecords.Std(),
		Timeout: c.document.Targets.Patience.Std(),
	}
}

// reachable returns the pool's members that may get the call.
func (c *callRun) reachable() []roster.Member {
	present := c.roster.Regions(c.document.Pools.Serve)
	if c.call.Class == spec.Action {
		return c.owners(present)
	}
	regions := route.Regions(c.config.Region, &c.document, present)
	if len(regions) == 0 {
		return nil
	}
	return c.roster.Sample(c.document.Pools.Serve, regions[0], route.Choices, c.dice())
}

// owners returns all members of all regions, because the owner of a shard must
// not hang on who asks.
func (c *callRun) owners(regions []ident.RegionName) []roster.Member {
	var members []roster.Member
	for _, region := range regions {
		members = append(members, c.roster.Pool(c.document.Pools.Serve, region)...)
	}
	return members
}

// refusal makes a failure's outcome true: without the ledger nobody knows
// whether an earlier attempt under the same key has run.
func (c *callRun) refusal(err error) *fault.Refusal {
	refusal := fault.AsRefusal(err)
	if refusal.Code == fault.Internal {
		refusal = fault.New(fault.EndpointFailed, "%v", err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		refusal = fault.New(fault.PatienceExceeded, "no answer within %s", c.document.Targets.Patience)
	}
	told := refusal.After(max(refusal.RetryAfter, c.spread(0)))
	if refusal.Code == fault.KeyReused || refusal.Code == fault.ActionUnknown {
		told = refusal
	}
	if c.call.Class == spec.Action && !c.consulted {
		told.Outcome = fault.Unknown
	}
	return told
}

// count adds the ended call to the metrics.
func (c *callRun) count(err error) {
	took := time.Since(c.arrived)
	within := err == nil && took <= c.document.Targets.WholeAnswer.Std()
	sample := burn.Sample{Requests: 1}
	outcome := "answered"
	if within {
		sample.Within = 1
	}
	if err != nil {
		outcome = string(c.refusal(err).Code)
	}
	service := c.document.Service
	c.burn.Record(service, c.document.Targets.ObjectivePercent, sample, time.Now())
	c.Meter.Request(service, outcome, within)
	c.Meter.WholeAnswer(service, took)
	c.Log.Info("call ended", "request", c.request, "service", service, "class", c.call.Class, "outcome", outcome, "took", took)
}
