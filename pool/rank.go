package pool

import (
	"cmp"
	"slices"
	"time"

	"crocusstep/ident"
)

const (
	// failurePenalty scales the expected latency by the failure rate: an endpoint that
	// fails half of its requests must be three times as fast as one without failures.
	failurePenalty = 4.0
	// defaultLatency is assumed for an endpoint of a plain service without a
	// completed request.
	defaultLatency = 40 * time.Millisecond
	// PrefillPerToken is the nominal prefill time of a prompt token: current engines
	// prefill 55 tokens in a millisecond.
	PrefillPerToken = 18 * time.Microsecond
	// PrefillOverhead is the fixed part of the nominal prefill time.
	PrefillOverhead = 11 * time.Millisecond
)

// PrefillTime returns the nominal duration of a prefill in an otherwise idle engine.
func PrefillTime(tokens ident.TokenCount) time.Duration {
	return time.Duration(tokens)*PrefillPerToken + PrefillOverhead
}

// Topology is the zone of this process and the region of every zone.
type Topology struct {
	Zone    ident.ZoneName
	Regions map[ident.ZoneName]ident.RegionName
}

// RoundTrip estimates the network round trip to a zone.
func (t Topology) RoundTrip(zone ident.ZoneName) time.Duration {
	switch {
	case zone == t.Zone:
		return 400 * time.Microsecond
	case t.Regions[zone] == t.Regions[t.Zone]:
		return 3 * time.Millisecond
	}
	return 26 * time.Millisecond
}

// RankPlain sorts members by the expected latency of a call to a plain service.
// Requests beyond the slots queue.
func (t Topology) RankPlain(list []Member) []Member {
	return ranked(list, func(m Member) float64 {
		latency := m.MeanLatency
		if latency == 0 {
			latency = defaultLatency
		}
		queue := 1 + float64(m.Outstanding)/float64(max(1, m.Slots/2))
		return (float64(latency)*queue + float64(t.RoundTrip(m.Zone))) * (1 + failurePenalty*m.FailureRate)
	})
}

// RankPrefill sorts members for the prefill of a prompt that is decoded in the given
// zone, by the expected end of the prefill and the distance of the KV transfer.
func (t Topology) RankPrefill(list []Member, decodeZone ident.ZoneName, now time.Time) []Member {
	return ranked(list, func(m Member) float64 {
		delay := max(0, m.Load.PrefillBacklog-now.Sub(m.Load.ReportedAt)) + time.Duration(m.Load.PrefillSlowdown*float64(PrefillTime(typicalPrompt)))
		if m.Load.ReportedAt.IsZero() {
			delay = PrefillTime(m.PromptTokens)
		}
		return float64(delay+t.RoundTrip(m.Zone)+t.transferPenalty(m.Zone, decodeZone)) * (1 + failurePenalty*m.FailureRate)
	})
}

// transferPenalty is the additional prefill delay that is accepted to keep a KV
// transfer off the links between zones and regions.
func (t Topology) transferPenalty(from, to ident.ZoneName) time.Duration {
	switch {
	case from == to:
		return 0
	case t.Regions[from] == t.Regions[to]:
		return crossZonePenalty
	}
	return crossRegionPenalty
}

// RankDecode sorts members by free memory as reported, or as estimated from this
// process's own requests if there is no recent report.
func (t Topology) RankDecode(list []Member, now time.Time) []Member {
	return ranked(list, func(m Member) float64 {
		headroom := float64(m.Load.Headroom)
		if now.Sub(m.Load.ReportedAt) > loadTTL {
			headroom = unreportedHeadroom - float64(m.PromptTokens)
		}
		return -headroom * (1 - m.FailureRate)
	})
}

const (
	// loadTTL is how long a reported load is used.
	loadTTL = 1500 * time.Millisecond
	// typicalPrompt is the prompt length in tokens at which the engines' slowdowns
	// are compared.
	typicalPrompt = 5000
	// crossZonePenalty and crossRegionPenalty are a third and two thirds of the prefill
	// time of a typical prompt: links between regions are ten times as slow and expensive.
	crossZonePenalty   = 30 * time.Millisecond
	crossRegionPenalty = 60 * time.Millisecond
	// unreportedHeadroom is the memory in tokens assumed for an endpoint without a
	// recent report.
	unreportedHeadroom = 40000.0
)

// ranked sorts members by cost, with those over their limit, lapsed and then suspended last.
func ranked(list []Member, cost func(Member) float64) []Member {
	slices.SortStableFunc(list, func(a, b Member) int {
		if x, y := healthRank(a), healthRank(b); x != y {
			return cmp.Compare(x, y)
		}
		return cmp.Compare(cost(a), cost(b))
	})
	return list
}

// healthRank orders healthy members before those that cannot or may not serve a request.
func healthRank(m Member) int {
	switch {
	case m.Suspended:
		return 3
	case m.Lapsed:
		return 2
	case m.OverLimit:
		return 1
	}
	return 0
}
