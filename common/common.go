// Package common provides the logger and metrics that most packages embed, and
// helpers for goroutines and waits.
package common

import (
	"io"
	"log/slog"

	"crocusstep/meter"
)

// Common holds the dependencies that all components of a process share. There is no
// clock among them: testing/synctest replaces package time in tests.
type Common struct {
	Log   *slog.Logger
	Meter *meter.Meter
}

// NewCommon returns a Common with the given logger and metrics.
func NewCommon(log *slog.Logger, m *meter.Meter) *Common {
	return &Common{Log: log, Meter: m}
}

// NewDiscard returns a Common whose logger discards everything, for tools and tests.
func NewDiscard() (*Common, error) {
	m, err := meter.NewMeter()
	if err != nil {
		return nil, err
	}
	return NewCommon(slog.New(slog.NewTextHandler(io.Discard, nil)), m), nil
}
