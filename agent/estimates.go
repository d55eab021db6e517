package agent

import (
	"sync"
	"time"

	"crocusstep/ident"
)

// smoothingFactor is the weight of the newest sample in a moving average.
const smoothingFactor = 0.2

// estimates holds moving averages of the endpoint's measured speed.
type estimates struct {
	mutex sync.Mutex
	// prefill is the time per prompt token.
	prefill time.Duration
	// step is the time between two tokens of a decode.
	step time.Duration
	// transfer is the time to fetch the KV cache of one token.
	transfer time.Duration
}

const (
	// defaultTransferPerToken is assumed until a transfer has been measured.
	defaultTransferPerToken = 100 * time.Microsecond
	// transferTimeoutBase and transferTimeoutFactor add a margin to the estimated
	// duration, after which a transfer counts as stalled.
	transferTimeoutBase   = 250 * time.Millisecond
	transferTimeoutFactor = 4
)

// transferTimeout returns how long a KV transfer may take.
func (e *estimates) transferTimeout(tokens ident.TokenCount) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	perToken := e.transfer
	if perToken == 0 {
		perToken = defaultTransferPerToken
	}
	return transferTimeoutBase + transferTimeoutFactor*time.Duration(tokens)*perToken
}

func (e *estimates) observeTransfer(tokens ident.TokenCount, duration time.Duration) {
	if tokens <= 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.transfer = movingAverage(e.transfer, duration/time.Duration(tokens))
}

func (e *estimates) observePrefill(tokens ident.TokenCount, duration time.Duration) {
	if tokens <= 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.prefill = movingAverage(e.prefill, duration/time.Duration(tokens))
}

func (e *estimates) observeStep(duration time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.step = movingAverage(e.step, duration)
}

func (e *estimates) prefillPerToken() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.prefill
}

func (e *estimates) stepTime() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.step
}

func movingAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(smoothingFactor*float64(sample-average))
}
