// Package timekeeper is the one notion of time of the project: instants and
// durations in whole milliseconds, and the small clock that decision code is
// given instead of the operating system's.
//
// Decision packages never read a clock. They take a Time as an argument, so
// that a test can move time forward without sleeping.
package timekeeper

import (
	"fmt"
	"time"
)

// Time is an instant, in milliseconds since the Unix epoch.
type Time int64

// Duration is a span of time in milliseconds.
type Duration int64

// The usual spans.
const (
	Millisecond Duration = 1
	Second               = 1000 * Millisecond
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)

// Never is later than every instant that occurs.
const Never Time = 1<<63 - 1

// Add returns t moved by d. Never stays Never.
func (t Time) Add(d Duration) Time {
	if t == Never {
		return Never
	}
	return t + Time(d)
}

// Sub returns the span from u to t.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Std returns t as the standard library's type.
func (t Time) Std() time.Time { return time.UnixMilli(int64(t)) }

// String returns t in RFC 3339 with milliseconds, in UTC.
func (t Time) String() string {
	return t.Std().UTC().Format("2006-01-02T15:04:05.000Z07:00")
}

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// Seconds returns d as a number of seconds.
func (d Duration) Seconds() float64 { return float64(d) / float64(Second) }

// String returns d in the notation of the standard library, such as "1.5s".
func (d Duration) String() string { return d.Std().String() }

// FromStd returns the instant t, cut to whole milliseconds.
func FromStd(t time.Time) Time { return Time(t.UnixMilli()) }

// DurationOf returns the span d, cut to whole milliseconds.
func DurationOf(d time.Duration) Duration { return Duration(d.Milliseconds()) }

var _ error = (*DurationError)(nil)

// DurationError reports a span that could not be read from text.
type DurationError struct {
	Text  string
	Cause error
}

func (e *DurationError) Error() string {
	return fmt.Sprintf("duration %q: %v", e.Text, e.Cause)
}

func (e *DurationError) Unwrap() error { return e.Cause }

// ParseDuration reads a span such as "250ms" or "2h".
// Its error is a *DurationError.
func ParseDuration(s string) (Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, &DurationError{
			Text:  s,
			Cause: err,
		}
	}
	return DurationOf(d), nil
}
