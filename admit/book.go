package admit

import (
	"maps"
	"math"
	"time"

	"crocusstep/ident"
)

const (
	// demandWindow is the time over which the arrivals of more urgent requests are
	// averaged: at an engine that is full, memory for one more becomes free some times in
	// it, so that the rate follows a burst while it lasts.
	demandWindow = 2 * time.Second
	// usageWindow is the time over which shares and the frequency of service are
	// averaged: some runs of an engine, and the time in which callers that are refused
	// come back.
	usageWindow = 8 * time.Second
	// agingShare is the part of the frequency of all at which a priority is served before
	// more urgent ones: twice the least part that callers accept, a quarter.
	agingShare = 0.5
	// maxCredit limits what a priority may catch up on, in requests.
	maxCredit = 2
	// debtLevelsPerDoubling is the number of levels of debt in a factor of two beyond the
	// share, which is of some requests at one engine: smaller differences are chance.
	debtLevelsPerDoubling = 2
	// maxDebt is the highest level, at eight times the share.
	maxDebt = 7
	// maxEntries limits the entries of a book; what is beyond them has no debt, and is not
	// waited for.
	maxEntries = 256
	// forgotten is the count below which an entry is dropped.
	forgotten = 0.01
)

// cell counts the requests that are alike in all that ranks them.
type cell struct {
	priority  int
	inner     int
	timing    Timing
	workspace ident.WorkspaceName
}

// usage is what one workspace used lately.
type usage struct {
	weight float64
	// tokens counts those granted, by expectation until a request has ended.
	tokens average
	// asks counts the requests.
	asks average
}

// service is how often the requests of one priority were served lately.
type service struct {
	asks, grants average
	// credit is the number of requests by which the priority was served less often than
	// agingShare allows, within maxCredit.
	credit float64
}

// Book holds what one engine's keeper needs to rank requests: who asked, and who used how much
// lately. All of it decays. The zero value is not usable; it is not safe for concurrent use.
type Book struct {
	demand     map[cell]*average
	usages     map[ident.WorkspaceName]*usage
	services   map[int]*service
	nextPruned time.Time
}

// NewBook returns a book without entries.
func NewBook() *Book {
	return &Book{demand: map[cell]*average{}, usages: map[ident.WorkspaceName]*usage{}, services: map[int]*service{}}
}

// Ask records that a request for memory arrived. It counts at the first keeper that is asked:
// these are spread over all, so that each counts its part of the demand.
func (b *Book) Ask(now time.Time, o Order, t Timing) {
	if o.Again {
		return
	}
	b.prune(now)
	key := cell{priority: o.Priority, inner: o.Inner, timing: t, workspace: o.Workspace}
	if _, known := b.demand[key]; !known && len(b.demand) < maxEntries {
		b.demand[key] = &average{}
	}
	if a := b.demand[key]; a != nil {
		a.add(now, 1, demandWindow)
	}
	own := b.service(o.Priority)
	own.asks.add(now, 1, usageWindow)
	own.credit = min(maxCredit, own.credit+agingShare*b.frequency(now))
	if u := b.usage(o); u != nil {
		u.weight = o.weight()
		u.asks.add(now, 1, usageWindow)
	}
}

// Grant charges a workspace the expected tokens of a request that is admitted.
func (b *Book) Grant(now time.Time, o Order, tokens ident.TokenCount) {
	own := b.service(o.Priority)
	own.grants.add(now, 1, usageWindow)
	own.credit = max(-1, own.credit-1)
	if u := b.usage(o); u != nil {
		u.tokens.add(now, float64(tokens), usageWindow)
	}
}

// Correct replaces the tokens charged at a grant by those used, of which there are more by the
// given difference, once the request has ended.
func (b *Book) Correct(now, grantedAt time.Time, o Order, difference ident.TokenCount) {
	left := float64(difference) * decay(now.Sub(grantedAt), usageWindow)
	if u := b.usage(o); u != nil {
		u.tokens.add(now, left, usageWindow)
	}
}

// Rank returns the current rank of a request.
func (b *Book) Rank(now time.Time, o Order, t Timing) Rank {
	return Rank{Timing: t, Aged: b.aged(o.Priority), Priority: o.Priority, Debt: b.Debt(now, o.Workspace), Inner: o.Inner}
}

// RateAhead returns the requests a second that arrive and precede a rank.
func (b *Book) RateAhead(now time.Time, r Rank) float64 {
	share, aged := b.share(now), map[int]bool{}
	for priority := range b.services {
		aged[priority] = b.aged(priority)
	}
	asks := 0.0
	for key, a := range b.demand {
		other := Rank{Timing: key.timing, Aged: aged[key.priority], Priority: key.priority, Debt: share.debt(b.usages[key.workspace]), Inner: key.inner}
		if other.Compare(r) < 0 {
			asks += a.at(now, demandWindow)
		}
	}
	return asks / demandWindow.Seconds()
}

// Debt returns the level of what a workspace used beyond its share of what all workspaces that
// ask used.
func (b *Book) Debt(now time.Time, workspace ident.WorkspaceName) int {
	return b.share(now).debt(b.usages[workspace])
}

// share is what a workspace may have used without a debt.
type share struct {
	now time.Time
	// perWeight is in tokens, zero if none was used.
	perWeight float64
}

func (b *Book) share(now time.Time) share {
	weights, tokens := 0.0, 0.0
	for _, u := range b.usages {
		weights += u.weight
		tokens += max(0, u.tokens.at(now, usageWindow))
	}
	return share{now: now, perWeight: tokens / max(weights, math.SmallestNonzeroFloat64)}
}

// debt returns the level of debt, zero for a workspace without an entry.
func (s share) debt(u *usage) int {
	if u == nil || s.perWeight <= 0 {
		return 0
	}
	excess := u.tokens.at(s.now, usageWindow) / u.weight / s.perWeight
	if excess <= 1 {
		return 0
	}
	return int(min(maxDebt, 1+debtLevelsPerDoubling*math.Log2(excess)))
}

// aged reports whether a priority is served far less often than all requests, by one request
// or more, although it is not the most urgent.
func (b *Book) aged(priority int) bool {
	own := b.services[priority]
	if own == nil || own.credit < 1 {
		return false
	}
	for p := range b.services {
		if p < priority {
			return true
		}
	}
	return false
}

// frequency returns the part of all requests that were granted memory.
func (b *Book) frequency(now time.Time) float64 {
	asks, grants := 0.0, 0.0
	for _, s := range b.services {
		asks += s.asks.at(now, usageWindow)
		grants += s.grants.at(now, usageWindow)
	}
	return min(1, grants/max(1, asks))
}

// service returns the entry of a priority; one beyond the limit is not kept.
func (b *Book) service(priority int) *service {
	s := b.services[priority]
	if s == nil {
		s = &service{}
		if len(b.services) < maxEntries {
			b.services[priority] = s
		}
	}
	return s
}

// usage returns the entry of a workspace, or nil if there is none or the book is full.
func (b *Book) usage(o Order) *usage {
	u := b.usages[o.Workspace]
	if u == nil && len(b.usages) < maxEntries {
		u = &usage{weight: o.weight()}
		b.usages[o.Workspace] = u
	}
	return u
}

// prune drops the entries that have decayed, once in a window.
func (b *Book) prune(now time.Time) {
	if now.Before(b.nextPruned) {
		return
	}
	b.nextPruned = now.Add(demandWindow)
	maps.DeleteFunc(b.demand, func(_ cell, a *average) bool { return a.at(now, demandWindow) < forgotten })
	maps.DeleteFunc(b.usages, func(_ ident.WorkspaceName, u *usage) bool { return u.asks.at(now, usageWindow) < forgotten })
	maps.DeleteFunc(b.services, func(_ int, s *service) bool { return s.asks.at(now, usageWindow) < forgotten })
}
