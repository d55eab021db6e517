// Package common is the small struct of things that nearly every part needs:
// it is embedded by them and handed in by their constructors.
package common

import (
	"io"
	"log/slog"

	"crocusstep/meter"
)

// Common is shared by all parts of one process. Time is taken from package
// time, which testing/synctest replaces in tests.
type Common struct {
	Log   *slog.Logger
	Meter *meter.Meter
}

// NewCommon returns the shared things of one process.
func NewCommon(log *slog.Logger, m *meter.Meter) *Common {
	return &Common{Log: log, Meter: m}
}

// NewDiscard returns shared things that log nothing, for tools and tests.
func NewDiscard() (*Common, error) {
	m, err := meter.NewMeter()
	if err != nil {
		return nil, err
	}
	return NewCommon(slog.New(slog.NewTextHandler(io.Discard, nil)), m), nil
}
