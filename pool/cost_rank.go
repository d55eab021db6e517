package pool

import (
	"time"

	"crocusstep/cost"
	"crocusstep/ident"
)

// defaultStep is assumed for all engines until the decode steps of one are known.
const defaultStep = time.Millisecond

// RequestCost is what a request is likely to cost an engine, and how fast the engines are.
type RequestCost struct {
	Speeds cost.View
	// Prompt and Output are in tokens; Output is the expected one.
	Prompt, Output ident.TokenCount
	// Capacity is the KV memory of one engine.
	Capacity ident.TokenCount
	// Busy is the share of their time or memory that engines are in use.
	Busy float64
}

func (m Member) process() cost.Process {
	return cost.Process{StartMillis: m.StartMillis, Version: m.Version}
}

// slowdown returns the ratio of the member's prefill time to the nominal one.
func (c RequestCost) slowdown(m Member) float64 { return c.Speeds.Slowdown(m.Name, m.process()) }

// step returns the time of the member's decode step.
func (c RequestCost) step(m Member) time.Duration {
	if step := c.Speeds.Step(m.Name, m.process()); step > 0 {
		return step
	}
	return defaultStep
}

// PrefillWork returns the duration of the prefill at a member, without a wait.
func (c RequestCost) PrefillWork(m Member) time.Duration {
	return time.Duration(c.slowdown(m) * float64(PrefillTime(c.Prompt)))
}

// DecodeWork returns the duration of the output at a member.
func (c RequestCost) DecodeWork(m Member) time.Duration {
	return time.Duration(c.Output) * c.step(m)
}

// PrefillCost returns the expected end of a prefill at a member, with the price of the distance to
// the decode zone, and its uncertainty: what the keeper reported, less the time since, and this
// process's own requests. As the keeper is asked before the prompt is sent, the uncertainty is that
// of the time until its response.
func (t Topology) PrefillCost(m Member, decodeZone ident.ZoneName, now time.Time, c RequestCost) (expected, uncertainty time.Duration) {
	work := c.PrefillWork(m)
	age := t.RoundTrip(m.Zone)
	delay := time.Duration(c.slowdown(m) * float64(time.Duration(m.PromptTokens)*PrefillPerToken))
	if !m.Load.ReportedAt.IsZero() {
		age = min(age, now.Sub(m.Load.ReportedAt))
		delay = max(0, m.Load.PrefillBacklog-now.Sub(m.Load.ReportedAt))
	}
	distance := t.RoundTrip(m.Zone) + t.transferPenalty(m.Zone, decodeZone)
	expected = time.Duration(float64(delay+work+distance) * (1 + failurePenalty*m.FailureRate))
	return expected, cost.Uncertainty(work, age, c.Busy)
}

// DecodeCost returns the expected duration of the output at a member, longer the less memory is
// free there, and its uncertainty. A request that does not fit waits for another one's end.
func (t Topology) DecodeCost(m Member, now time.Time, c RequestCost) (expected, uncertainty time.Duration) {
	work := c.DecodeWork(m)
	age := now.Sub(m.Load.ReportedAt)
	headroom := float64(m.Load.Headroom)
	if age > loadTTL {
		headroom = unreportedHeadroom - float64(m.PromptTokens)
		age = work
	}
	capacity := float64(max(1, c.Capacity))
	pressure := 1 - headroom/capacity
	if headroom < float64(c.Prompt+c.Output) {
		pressure++
	}
	expected = time.Duration(float64(work) * (1 + pressure) * (1 + m.FailureRate))
	share := float64(c.Prompt+c.Output/2) / capacity
	return expected, cost.Uncertainty(time.Duration(share*float64(work)), min(age, work), c.Busy)
}

// exploredDecodes is how many members follow the cheapest ones in the order of their free memory
// alone: of members that are never asked, nothing would be learned, and slow engines would stay
// empty in a burst.
const exploredDecodes = 2

// RankPrefillByCost sorts members for a prefill by PrefillCost.
func (t Topology) RankPrefillByCost(list []Member, decodeZone ident.ZoneName, now time.Time, c RequestCost) []Member {
	return rankedByCost(list, func(m Member) (time.Duration, time.Duration) { return t.PrefillCost(m, decodeZone, now, c) })
}

// RankDecodeByCost sorts members for a decode by DecodeCost. Of the first tries, the last go to
// members in the order of RankDecode.
func (t Topology) RankDecodeByCost(list []Member, now time.Time, c RequestCost, tries int) []Member {
	list = rankedByCost(list, func(m Member) (time.Duration, time.Duration) { return t.DecodeCost(m, now, c) })
	cheapest := tries - exploredDecodes
	if cheapest > 0 && len(list) > tries {
		t.RankDecode(list[cheapest:], now)
	}
	return list
}

// rankedByCost sorts members by cost, with those over their limit, lapsed and then suspended last.
func rankedByCost(list []Member, expected func(Member) (time.Duration, time.Duration)) []Member {
	return ranked(cost.Order(list, expected, nil), func(Member) float64 { return 0 })
}
