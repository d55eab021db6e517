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
	goesOnTurnMost = 1500 * time.Millisecond
	// eventAllowance is the part of the longest pause that goes by between two events
	// at an engine's usual pace, with their way to the caller.
	eventAllowance = 130 * time.Millisecond
)

// takeOwnTurn asks the keeper beside the decode endpoint whether that may read the
// prompt. Where others read prompts, if late, the answers that it makes must not
// stand still for longer than they may.
func (s *stream) takeOwnTurn(ctx context.Context, g *grant, othersRead bool) bool {
	stall := s.left()
	if othersRead {
		stall = s.stallMost()
	}
	return s.askOwnTurn(ctx, g, s.request.Prompt.Tokens+s.before(), stall)
}

// awaitOwnTurn waits until the decode endpoint may read what was made of the answer
// elsewhere, which no prefill endpoint reads. It does not wait for so long that the
// caller would leave.
func (s *stream) awaitOwnTurn(ctx context.Context, g *grant) {
	deadline := time.Now().Add(goesOnTurnMost)
	for s.before() > 0 && ctx.Err() == nil && time.Now().Before(deadline) && !s.askOwnTurn(ctx, g, s.before(), s.stallMost()) {
		common.Pause(ctx, turnPause)
	}
}

// stallMost is how long answers may stand still between two events.
func (s *stream) stallMost() time.Duration {
	if s.route.MaxGap <= 0 {
		return s.left()
	}
	return s.route.MaxGap - eventAllowance
}

// askOwnTurn asks for a reading by the decode endpoint itself. One that has no
// keeper is not asked.
func (s *stream) askOwnTurn(ctx context.Context, g *grant, tokens ident.TokenCount, stall time.Duration) bool {
	if !g.held {
		return true
	}
	answer, err := s.config.Places.SchedulePrefill(ctx, g.member.Address, keeper.PrefillRequest{
		Attempt: s.request.Attempt, Tokens: tokens, Own: true, Stall: stall,
	})
	if err != nil {
		return s.keeperFailed(ctx, g.member, err)
	}
	return answer.Granted
}
