package pool

import (
	"cmp"
	"slices"
	"time"

	"crocusstep/ident"
)

const (
	// failureWeight turns a failure rate into a factor on the expected time: an
	// endpoint that fails half of its requests must be three times as fast.
	failureWeight = 4.0
	// unknownPace is the expected time at a plain endpoint not seen at work yet.
	unknownPace = 40 * time.Millisecond
	// PrefillPerToken is the reading time taken for a prompt token: engines of
	// today's sites read 55 in a millisecond.
	PrefillPerToken = 18 * time.Microsecond
	// PrefillOverhead is what a reading costs beside its tokens.
	PrefillOverhead = 11 * time.Millisecond
)

// PrefillTime is how long an engine that does nothing else reads a prompt.
func PrefillTime(tokens ident.TokenCount) time.Duration {
	return time.Duration(tokens)*PrefillPerToken + PrefillOverhead
}

// Topology is where this process runs and how far it is to other places.
type Topology struct {
	Zone    ident.ZoneName
	Regions map[ident.ZoneName]ident.RegionName
}

// RoundTrip estimates the time to a zone and back.
func (h Topology) RoundTrip(zone ident.ZoneName) time.Duration {
	switch {
	case zone == h.Zone:
		return 400 * time.Microsecond
	case h.Regions[zone] == h.Regions[h.Zone]:
		return 3 * time.Millisecond
	}
	return 26 * time.Millisecond
}

// RankPlain orders members for a call of a plain service: by the time until it
// would be answered. Requests beyond the slots wait for one another.
func (h Topology) RankPlain(list []Member) []Member {
	return ranked(list, func(m Member) float64 {
		pace := m.MeanLatency
		if pace == 0 {
			pace = unknownPace
		}
		queue := 1 + float64(m.Outstanding)/float64(max(1, m.Slots/2))
		return (float64(pace)*queue + float64(h.RoundTrip(m.Zone))) * (1 + failureWeight*m.FailureRate)
	})
}

// RankPrefill orders members for reading a prompt that is answered in another zone:
// by when it would be read, and by how far its memory then has to be moved.
func (h Topology) RankPrefill(list []Member, answered ident.ZoneName, now time.Time) []Member {
	return ranked(list, func(m Member) float64 {
		ahead := max(0, m.Load.PrefillBacklog-now.Sub(m.Load.ReportedAt)) + time.Duration(m.Load.PrefillSlowdown*float64(PrefillTime(meanPrompt)))
		if m.Load.ReportedAt.IsZero() {
			ahead = PrefillTime(m.PromptTokens)
		}
		return float64(ahead+h.RoundTrip(m.Zone)+h.move(m.Zone, answered)) * (1 + failureWeight*m.FailureRate)
	})
}

// move is the longer wait for a reading that is worth while to keep its memory off
// the links between zones and regions.
func (h Topology) move(from, to ident.ZoneName) time.Duration {
	switch {
	case from == to:
		return 0
	case h.Regions[from] == h.Regions[to]:
		return moveZones
	}
	return moveRegions
}

// RankDecode orders members for a run: by the memory that is free, as reported or
// else by this process's own runs there.
func (h Topology) RankDecode(list []Member, now time.Time) []Member {
	return ranked(list, func(m Member) float64 {
		free := float64(m.Load.Headroom)
		if now.Sub(m.Load.ReportedAt) > loadLife {
			free = unknownFree - float64(m.PromptTokens)
		}
		return -free * (1 - m.FailureRate)
	})
}

const (
	// loadLife is how long a keeper's report of its load is used.
	loadLife = 1500 * time.Millisecond
	// meanPrompt is the tokens by which paces of reading are compared.
	meanPrompt = 5000
	// moveZones and moveRegions are a third and two thirds of the time in which the
	// mean prompt is read: links between regions are ten times as slow and dear.
	moveZones   = 30 * time.Millisecond
	moveRegions = 60 * time.Millisecond
	// unknownFree is the free tokens taken for an endpoint without a report.
	unknownFree = 40000.0
)

// ranked sorts by cost; members that are suspended or have lapsed come last.
func ranked(list []Member, cost func(Member) float64) []Member {
	slices.SortStableFunc(list, func(a, b Member) int {
		if x, y := lastResort(a), lastResort(b); x != y {
			return cmp.Compare(x, y)
		}
		return cmp.Compare(cost(a), cost(b))
	})
	return list
}

func lastResort(m Member) int {
	switch {
	case m.Suspended:
		return 2
	case m.Lapsed:
		return 1
	}
	return 0
}
