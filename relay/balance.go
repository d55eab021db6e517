package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/keeper"
	"crocusstep/pool"
	"crocusstep/split"
)

const (
	// balanceInterval is the time between two checks of the balance.
	balanceInterval = time.Second
	// loadSamples is how many engines' loads the leader reads in each interval, about 2 KB.
	loadSamples = 4
	// minBalanceRequests is how many reservation requests keepers must have received
	// before a service is balanced: the mean of 20 requests is off by a tenth.
	minBalanceRequests = 20
	// minStageAge is how long all engines must have kept their stages.
	minStageAge = 2 * time.Second
	// stageChangeCooldown is how long an engine gets to change its stage: the change
	// takes 6 s, after the requests in progress.
	stageChangeCooldown = 12 * time.Second
)

// Balance moves engines between prefill and decode wherever one stage has too many, as
// long as this relay is the leader.
func (r *Relay) Balance(ctx context.Context, isLeader func() bool) {
	for ctx.Err() == nil {
		common.Sleep(ctx, balanceInterval)
		if ctx.Err() != nil || !isLeader() {
			continue
		}
		r.sampleLoads(ctx)
		for service, load := range r.settledLoads(time.Now()) {
			r.balanceService(ctx, service, load)
		}
	}
}

// sampleLoads reads the loads of a few random decode engines of each service: in a large
// fleet, the leader's own callers make it talk to few of them.
func (r *Relay) sampleLoads(ctx context.Context) {
	t := r.table.Load()
	if t == nil {
		return
	}
	for name, service := range t.Services {
		if service.Engine == nil {
			continue
		}
		members := r.config.Pool.Members(name, pool.Decode)
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		for _, m := range members[:min(loadSamples, len(members))] {
			if r.keeperUnreachable(m.Name) || m.Lapsed || m.Suspended {
				continue
			}
			response, err := r.config.Keepers.Load(ctx, m.Address, keeper.LoadRequest{Slots: m.Slots})
			if err != nil {
				r.Log.Info("could not read the load of an engine", "endpoint", m.Name, "error", err)
				continue
			}
			if !response.Down {
				r.recordKeeperLoad(m, response)
			}
		}
	}
}

// settledLoads returns the loads of services whose engines have not changed stage
// recently.
func (r *Relay) settledLoads(now time.Time) map[ident.ServiceName]split.Load {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	loads := map[ident.ServiceName]split.Load{}
	for service, s := range r.loads {
		prefills := len(r.config.Pool.Members(service, pool.Prefill))
		stages := [2]int{prefills, prefills + len(r.config.Pool.Members(service, pool.Decode))}
		if stages != s.stageCounts {
			s.stageCounts, s.stagesChanged = stages, now
		}
		load, requests := s.mean(now)
		if requests < minBalanceRequests || now.Sub(s.stagesChanged) < minStageAge || now.Sub(s.lastStageRequest) < stageChangeCooldown {
			continue
		}
		load.Burst = s.inBurst(now)
		load.PrefillPerToken = time.Duration(meanSlowdown(r.config.Pool.Members(service, pool.Prefill)) * float64(load.PrefillPerToken))
		loads[service] = load
	}
	return loads
}

// meanSlowdown returns the mean slowdown of prefill engines, 1 if none is known.
func meanSlowdown(prefills []pool.Member) float64 {
	sum, known := 0.0, 0
	for _, m := range prefills {
		if m.Load.PrefillSlowdown > 0 {
			sum += m.Load.PrefillSlowdown
			known++
		}
	}
	if known == 0 {
		return 1
	}
	return sum / float64(known)
}

func (r *Relay) balanceService(ctx context.Context, service ident.ServiceName, load split.Load) {
	var engines []pool.Endpoint
	for _, stage := range []pool.Stage{pool.Prefill, pool.Decode} {
		for _, m := range r.config.Pool.Members(service, stage) {
			if !m.Lapsed {
				engines = append(engines, m.Endpoint)
			}
		}
	}
	target := split.PrefillEngines(len(engines), load)
	change := split.PlanChange(engines, target, load.Burst)
	for _, e := range change.Candidates {
		if change.Count == 0 {
			return
		}
		request := keeper.StageRequest{Endpoint: e.Name, StartMillis: e.StartMillis, Stage: change.To, TargetPrefill: target}
		response, err := r.config.Keepers.ChangeStage(ctx, e.Address, request)
		r.Log.Info("an engine should change its stage", "service", service, "endpoint", request.Endpoint, "stage", request.Stage,
			"want", target, "engines", len(engines), "prompt", load.Prompt, "output", load.Output, "memory", load.Capacity,
			"step", load.StepTime, "burst", load.Burst, "taken", response.Accepted, "why", response.Reason, "error", err)
		if err == nil && !response.Sent {
			// The engine is down or has recently changed its stage.
			continue
		}
		r.recordStageRequest(service)
		change.Count--
	}
}

func (r *Relay) recordStageRequest(service ident.ServiceName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loads[service].lastStageRequest = time.Now()
}
