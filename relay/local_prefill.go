package relay

import (
	"context"
	"time"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/keeper"
)

const (
	// maxResumeSlotWait is the longest wait of a resumed stream for a prefill slot: its
	// caller has already seen a gap and disconnects after one of 3.6 s, of which the
	// reservation and the prefill take up to 2 s.
	maxResumeSlotWait = 1500 * time.Millisecond
	// eventAllowance is the usual time between two events at the caller, which is part
	// of a route's longest gap.
	eventAllowance = 130 * time.Millisecond
)

// tryLocalPrefill asks the keeper of the decode endpoint whether the endpoint may
// prefill the prompt itself. If prefill endpoints could do so later, the stall of the
// endpoint's other streams must stay within the route's longest gap.
func (s *stream) tryLocalPrefill(ctx context.Context, res *reservation, availableLater bool) bool {
	stall := s.timeLeft()
	if availableLater {
		stall = s.nominalStall(res.member)
	}
	return s.requestLocalPrefill(ctx, res, s.request.Prompt.Tokens+s.resumeTokens(), stall)
}

// awaitLocalPrefill waits until the decode endpoint may prefill the tokens, such as those generated
// elsewhere, which prefill endpoints do not process. It times out before the caller
// would disconnect.
func (s *stream) awaitLocalPrefill(ctx context.Context, res *reservation, tokens ident.TokenCount) {
	deadline := time.Now().Add(maxResumeSlotWait)
	for tokens > 0 && ctx.Err() == nil && time.Now().Before(deadline) && !s.requestLocalPrefill(ctx, res, tokens, s.nominalStall(res.member)) {
		common.Sleep(ctx, slotRetryInterval)
	}
}

// maxStall is how long a local prefill may stall the other streams of the endpoint.
func (s *stream) maxStall() time.Duration {
	if s.route.TargetEventGap <= 0 {
		return s.timeLeft()
	}
	return s.route.TargetEventGap - eventAllowance
}

// requestLocalPrefill asks the keeper for a local prefill, which is allowed if the keeper
// is down.
func (s *stream) requestLocalPrefill(ctx context.Context, res *reservation, tokens ident.TokenCount, stall time.Duration) bool {
	if !res.confirmed {
		return true
	}
	response, err := s.config.Keepers.SchedulePrefill(ctx, res.member.Address, keeper.PrefillRequest{
		Attempt: s.request.Attempt, Tokens: tokens, Local: true, MaxStall: stall,
	})
	if err != nil {
		return s.keeperFailed(ctx, res.member, err)
	}
	return response.Granted
}
