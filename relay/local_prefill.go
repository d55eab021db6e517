package relay

import (
	"context"
	"time"

	"crocusstep/common"
	"crocusstep/ident"
	"crocusstep/keeper"
)

const (
	// goesOnTurnMost is the longest wait for a turn of a stream that goes on: its
	// caller has seen a pause already, and leaves after one of 3.6 s, of which the
	// place and the reading take up to two.
	maxResumeSlotWait = 1500 * time.Millisecond
	// eventAllowance is the part of the longest pause that goes by between two events
	// at an engine's usual pace, with their way to the caller.
	eventAllowance = 130 * time.Millisecond
)

// takeOwnTurn asks the keeper beside the decode endpoint whether that may read the
// prompt. Where others read prompts, if late, the answers that it makes must not
// stand still for longer than they may.
func (s *stream) tryLocalPrefill(ctx context.Context, res *reservation, prefillLater bool) bool {
	stall := s.timeLeft()
	if prefillLater {
		stall = s.maxStall()
	}
	return s.requestLocalPrefill(ctx, res, s.request.Prompt.Tokens+s.resumeTokens(), stall)
}

// awaitOwnTurn waits until the decode endpoint may read what was made of the answer
// elsewhere, which no prefill endpoint reads. It does not wait for so long that the
// caller would leave.
func (s *stream) awaitLocalPrefill(ctx context.Context, res *reservation) {
	deadline := time.Now().Add(maxResumeSlotWait)
	for s.resumeTokens() > 0 && ctx.Err() == nil && time.Now().Before(deadline) && !s.requestLocalPrefill(ctx, res, s.resumeTokens(), s.maxStall()) {
		common.Pause(ctx, slotRetryInterval)
	}
}

// stallMost is how long answers may stand still between two events.
func (s *stream) maxStall() time.Duration {
	if s.route.MaxGap <= 0 {
		return s.timeLeft()
	}
	return s.route.MaxGap - eventAllowance
}

// askOwnTurn asks for a reading by the decode endpoint itself. One that has no
// keeper is not asked.
func (s *stream) requestLocalPrefill(ctx context.Context, res *reservation, tokens ident.TokenCount, stall time.Duration) bool {
	if !res.confirmed {
		return true
	}
	response, err := s.config.Keepers.Turn(ctx, res.member.Address, keeper.Turn{
		Attempt: s.request.Attempt, Tokens: tokens, Own: true, Stall: stall,
	})
	if err != nil {
		return s.keeperFailed(ctx, res.member, err)
	}
	return response.Granted
}
