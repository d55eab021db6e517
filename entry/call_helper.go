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
	"crocusstep/reply"
	"crocusstep/roster"
	"crocusstep/route"
	"crocusstep/spec"
	"crocusstep/wire"
)

// maxActionAgents limits how many agents one action is sent to. Sending it
// again is safe because the ledger decides whether the action runs.
const maxActionAgents = 3

// callExchange handles one call to a plain service.
type callExchange struct {
	*Entry
	request  ident.RequestID
	document spec.Document
	call     spec.Call
	arrived  time.Time
	method   string
	path     string
	header   http.Header
	body     []byte
	// key and digest are set only for actions.
	key    ident.IdempotencyKey
	digest ident.Digest
	// ledgerChecked is true if the agent checked its ledger before the last
	// failure.
	ledgerChecked bool
}

// setActionKey sets the action's key and digest.
func (c *callExchange) setActionKey(header, path string) *fault.Refusal {
	key, refusal := actionKey(c.call, header, path, c.body)
	if refusal != nil {
		return refusal
	}
	c.key = key
	c.digest = actionDigest(c.call, c.method, c.path, c.body)
	return nil
}

func (c *callExchange) serve(ctx context.Context) (wire.CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, answerWithin(c.document.Targets))
	defer cancel()
	if refusal := c.refuseBeforeEnd(c.latestEnd()); refusal != nil {
		return wire.CallResponse{}, refusal
	}
	c.retryBudget(c.document.Service).Deposit(c.document.Retries.BudgetPercent)
	response, err := c.run(ctx)
	if err != nil && cancelledAtGraceEnd(ctx, err) {
		err = fault.NewUnknown(fault.EndpointFailed, "the entry stopped before the response")
	}
	return response, err
}

func (c *callExchange) run(ctx context.Context) (wire.CallResponse, error) {
	if c.call.Class == spec.Action {
		return c.runAction(ctx)
	}
	if c.call.Share && c.method == http.MethodGet {
		return c.coalescedLookup(ctx)
	}
	return c.runLookup(ctx)
}

// runAction sends the action to the agents that rank first for its shard, in an
// order that is the same at all entries. It tries the next agent unless the ledger
// was checked; the ledger prevents an action whose response was lost from running
// twice.
func (c *callExchange) runAction(ctx context.Context) (wire.CallResponse, error) {
	members := c.eligibleMembers()
	shard := ledger.ShardIndex(c.key, c.document.Fencing.Shards)
	ranked := route.Rendezvous(members, string(c.document.Service)+"."+strconv.Itoa(shard))
	var failure error = fault.New(fault.NoEndpoint, "the pool has no endpoint").WithRetryAfter(time.Second)
	for i, m := range ranked[:min(maxActionAgents, len(ranked))] {
		if refusal := c.refuseUnsent(ctx); refusal != nil && i > 0 {
			return wire.CallResponse{}, refusal
		}
		response, err := c.callAgent(ctx, m, c.document.Limits.Actions)
		if err == nil {
			return response, nil
		}
		failure = err
		c.ledgerChecked = response.LedgerChecked
		if ctx.Err() != nil || response.LedgerChecked {
			break
		}
	}
	return wire.CallResponse{}, failure
}

// coalescedLookup joins an identical lookup in flight. The shared call is
// detached from its callers' contexts, so that it continues when one of them
// disconnects.
func (c *callExchange) coalescedLookup(ctx context.Context) (wire.CallResponse, error) {
	flight := c.inflightLookups.DoChan(c.coalescingKey(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerWithin(c.document.Targets))
		defer cancel()
		return c.runLookup(ctx)
	})
	select {
	case result := <-flight:
		response, _ := result.Val.(wire.CallResponse)
		return response, result.Err
	case <-ctx.Done():
		return wire.CallResponse{}, context.Cause(ctx)
	}
}

// coalescingKey hashes everything that the endpoint would receive.
func (c *callExchange) coalescingKey() string {
	sum := sha256.New()
	writeParts(sum, string(c.document.Service), c.method, c.path, canonicalJSON(c.header))
	return hex.EncodeToString(sum.Sum(nil))
}

// runLookup tries endpoints until one responds, within the retry budget.
func (c *callExchange) runLookup(ctx context.Context) (wire.CallResponse, error) {
	ranked := route.RankLookup(c.eligibleMembers(), c.newRand())
	var failure error = fault.New(fault.NoEndpoint, "the pool has no endpoint").WithRetryAfter(time.Second)
	mayHaveRun := false
	for i, m := range ranked[:min(c.document.Retries.Attempts, len(ranked))] {
		if i > 0 && !c.retryBudget(c.document.Service).TryAcquire() {
			break
		}
		if refusal := c.refuseUnsent(ctx); refusal != nil && i > 0 && !mayHaveRun {
			failure = refusal
			break
		}
		response, err := c.callAgent(ctx, m, c.document.Limits.Lookups)
		if err == nil {
			return response, nil
		}
		failure = err
		mayHaveRun = mayHaveRun || !neverRan(err)
		if ctx.Err() != nil {
			break
		}
	}
	if mayHaveRun && neverRan(failure) {
		adjusted := *c.refusalFor(failure)
		adjusted.Outcome = fault.Unknown
		failure = &adjusted
	}
	return wire.CallResponse{}, failure
}

// neverRan reports whether the failure of a call shows that it has not run.
func neverRan(err error) bool {
	return errors.Is(err, wire.ErrNotSent) || fault.AsRefusal(err).Outcome == fault.NotExecuted
}

func (c *callExchange) callAgent(ctx context.Context, m roster.Member, limit int) (wire.CallResponse, error) {
	endpoint := m.Instance.Endpoint
	done := c.roster.TrackRequest(endpoint, 0)
	defer done()
	response, err := wire.Call[wire.CallResponse](ctx, c.config.Peers, m.Instance.Address, wire.CallPath, c.newCallRequest(limit))
	if err == nil && response.Fault == nil {
		err = checkResponse(response)
	}
	if response.Load.Endpoint != "" {
		c.roster.UpdateLoad(response.Load)
	}
	switch {
	case err != nil && ctx.Err() == nil:
		c.roster.RecordFailure(endpoint)
		return response, fmt.Errorf("the agent at %s: %w", endpoint, err)
	case err != nil:
		return response, err
	case response.Fault != nil:
		return response, response.Fault
	}
	c.roster.RecordSuccess(endpoint)
	return response, nil
}

// checkResponse returns an error for a malformed response. An agent of an earlier version does not
// check those of its endpoint, and ledgers keep them.
func checkResponse(response wire.CallResponse) error {
	err := reply.CheckStatus(response.Status)
	if err == nil {
		err = reply.CheckFields(response.Header)
	}
	if err != nil {
		return errors.Join(wire.ErrResponseLost, err)
	}
	return nil
}

func (c *callExchange) newCallRequest(limit int) wire.CallRequest {
	return wire.CallRequest{
		Info: wire.AttemptInfo{
			Request:   c.request,
			Attempt:   ident.NewAttemptID(),
			Service:   c.document.Service,
			Workspace: c.document.Workspace,
			Weight:    c.document.Weight,
			Priority:  c.document.Priority,
			Deadline:  c.arrived.Add(c.document.Targets.Patience.Std()),
		},
		Class:     c.call.Class,
		Method:    c.method,
		Path:      c.path,
		Header:    c.header,
		Body:      c.body,
		Key:       c.key,
		Digest:    c.digest,
		Limit:     limit,
		MaxWait:   c.document.Targets.WholeAnswer.Std(),
		Shards:    c.document.Fencing.Shards,
		Retention: c.document.Fencing.KeepRecords.Std(),
		Timeout:   c.document.Targets.Patience.Std(),
	}
}

// eligibleMembers returns the pool members that the call may be sent to.
func (c *callExchange) eligibleMembers() []roster.Member {
	available := c.roster.Regions(c.document.Pools.Serve)
	if c.call.Class == spec.Action {
		return c.allMembers(available)
	}
	regions := route.RankRegions(c.config.Region, &c.document, available)
	if len(regions) == 0 {
		return nil
	}
	return c.roster.Sample(c.document.Pools.Serve, regions[0], route.SampleSize, c.newRand())
}

// allMembers returns the members of all regions, because the owner of a shard
// must not depend on the entry.
func (c *callExchange) allMembers(regions []ident.RegionName) []roster.Member {
	var members []roster.Member
	for _, region := range regions {
		members = append(members, c.roster.Pool(c.document.Pools.Serve, region)...)
	}
	return members
}

// refusalFor converts a failure and corrects its outcome: unless the ledger was
// checked, an earlier attempt under the same key may have run.
func (c *callExchange) refusalFor(err error) *fault.Refusal {
	refusal := fault.AsRefusal(err)
	if refusal.Code == fault.Internal {
		refusal = fault.NewUnknown(fault.EndpointFailed, "%v", err)
		if neverRan(err) {
			refusal.Outcome = fault.NotExecuted
		}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		refusal = fault.NewUnknown(fault.PatienceExceeded, "no answer within %s", c.document.Targets.Patience)
	}
	adjusted := refusal.WithRetryAfter(max(refusal.RetryAfter, c.withJitter(0)))
	if refusal.Code == fault.KeyReused || refusal.Code == fault.ActionUnknown {
		adjusted = refusal
	}
	if c.call.Class == spec.Action && !c.ledgerChecked {
		adjusted.Outcome = fault.Unknown
	}
	return adjusted
}

// recordMetrics records the finished call in the metrics and the log.
func (c *callExchange) recordMetrics(err error) {
	elapsed := time.Since(c.arrived)
	within := err == nil && elapsed <= c.document.Targets.WholeAnswer.Std()
	sample := burn.Sample{Requests: 1}
	outcome := "answered"
	if within {
		sample.WithinTarget = 1
	}
	if err != nil {
		outcome = string(c.refusalFor(err).Code)
	}
	service := c.document.Service
	c.burn.Record(service, c.document.Targets.ObjectivePercent, sample, time.Now())
	c.Meter.CountRequest(service, outcome, within)
	c.Meter.RecordResponseTime(service, elapsed)
	c.Log.Info("call ended", "request", c.request, "service", service, "class", c.call.Class, "outcome", outcome, "took", elapsed)
}
