package fake

// StallTransfers makes imports hang, or lets them go on.
func (e *Engine) StallTransfers(stalled bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.transfersStalled = stalled
}

// DropCancels drops the next cancels without a word.
func (e *Engine) DropCancels(count int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.droppedCancels = count
}

// StallDecodes makes decodes hang, or lets them go on.
func (e *Engine) StallDecodes(stalled bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.decodesStalled = stalled
}

// shouldDropCancel reports whether a cancel is to be dropped.
func (e *Engine) shouldDropCancel() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.droppedCancels == 0 {
		return false
	}
	e.droppedCancels--
	return true
}

// Stop drops all that the engine holds, as the end of its process does.
func (e *Engine) Stop() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crashed = true
	for attempt, running := range e.requests {
		running.cancel()
		delete(e.requests, attempt)
	}
}

// SlowDown multiplies the time of all work that begins from now on.
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
