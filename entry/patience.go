package entry

import (
	"time"

	"crocusstep/spec"
)

// answerTime is how long a refusal may take to reach a caller, which leaves when its patience ends.
const answerTime = 200 * time.Millisecond

// answerWithin returns how long the entry waits for an answer, so that a refusal reaches the caller
// before the patience ends.
func answerWithin(targets spec.Targets) time.Duration {
	patience := targets.Patience.Std()
	return patience - min(answerTime, patience/10)
}
