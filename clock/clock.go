// Package clock steps the wall clock of time values in tests, as an operator or a time
// daemon does on an instance, while the steady clock keeps running.
package clock

import (
	"time"
	"unsafe"
)

const (
	// steadyFlag marks a time.Time that holds a reading of the steady clock.
	steadyFlag = 1 << 63
	// secondsShift is the position of the wall clock's seconds in such a time.Time.
	secondsShift = 30
)

// timeLayout is the layout of the first field of a time.Time.
type timeLayout struct{ wall uint64 }

// Step returns a time whose wall clock differs from t's by whole seconds, with the same
// reading of the steady clock. It panics if t has none.
func Step(t time.Time, by time.Duration) time.Time {
	layout := (*timeLayout)(unsafe.Pointer(&t))
	if layout.wall&steadyFlag == 0 {
		panic("clock: the time has no reading of the steady clock")
	}
	layout.wall += uint64(int64(by/time.Second)) << secondsShift
	return t
}
