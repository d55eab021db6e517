package fake

import "hash/fnv"

// StallTransfers makes new imports hang until they are cancelled, or ends that.
func (e *Engine) StallTransfers(stalled bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.transfersStalled = stalled
}

// DropCancels drops the next count cancel requests and closes their connections.
func (e *Engine) DropCancels(count int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.droppedCancels = count
}

// StallDecodes stops the generation of tokens, or resumes it.
func (e *Engine) StallDecodes(stalled bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.decodesStalled = stalled
}

// shouldDropCancel reports whether to drop a cancel request, and counts it.
func (e *Engine) shouldDropCancel() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.droppedCancels == 0 {
		return false
	}
	e.droppedCancels--
	return true
}

// Stop cancels all requests and ends the engine, as the end of its process does.
func (e *Engine) Stop() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crashed = true
	for attempt, running := range e.requests {
		running.cancel()
		delete(e.requests, attempt)
	}
}

// SlowDown multiplies the time of prefills and decode steps that start from now on.
func (e *Engine) SlowDown(factor int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.slowdown = factor
}

func (e *Engine) crash() {
	e.mutex.Lock()
	already := e.crashed
	e.crashed = true
	e.mutex.Unlock()
	if !already {
		e.onCrash()
	}
}

// HasAccepted reports whether a prompt has reached the engine.
func (e *Engine) HasAccepted(prompt string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.prompts[hashPrompt(prompt)]
}

func hashPrompt(prompt string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(prompt))
	return sum.Sum64()
}
