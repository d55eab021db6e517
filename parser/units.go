package parser

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that is written with its unit, such as 250ms or 2m.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a duration with a unit such as 250ms or 2m, not %q", text)
	}
	if duration < 0 {
		return fmt.Errorf("a duration cannot be negative: %q", text)
	}
	*d = Duration(duration)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// Size is a number of bytes that is written with its unit, such as 64KiB.
type Size int64

// The units of a Size, in bytes.
const (
	KiB Size = 1 << 10
	MiB Size = 1 << 20
	GiB Size = 1 << 30
)

var sizeUnits = []struct {
	suffix string
	unit   Size
}{
	{"KiB", KiB},
	{"MiB", MiB},
	{"GiB", GiB},
	{"B", 1},
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(string(text), u.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || number < 0 {
			break
		}
		*s = Size(number) * u.unit
		return nil
	}
	return fmt.Errorf("expected a size with a unit such as 512B, 64KiB or 1MiB, not %q", text)
}

// String formats the size in the largest unit of which it is a multiple.
func (s Size) String() string {
	for _, u := range []struct {
		suffix string
		unit   Size
	}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}} {
		if s >= u.unit && s%u.unit == 0 {
			return fmt.Sprintf("%d%s", s/u.unit, u.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
