// Package timekeeper defines the times and durations of the project, in whole
// milliseconds, and the clocks that provide them.
//
// Decision packages never read a clock. They receive a Time as an argument, so
// that a test can advance time without sleeping.
package timekeeper

import (
	"fmt"
	"time"
)

// Time is an instant, in milliseconds since the Unix epoch.
type Time int64

// Duration is a length of time in milliseconds.
type Duration int64

// Common durations.
const (
	Millisecond Duration = 1
	Second               = 1000 * Millisecond
	Minute               = 60 * Second
	Hour                 = 60 * Minute
)

// Never is later than any time that occurs.
const Never Time = 1<<63 - 1

// Add returns t+d. For Never it returns Never.
func (t Time) Add(d Duration) Time {
	if t == Never {
		return Never
	}
	return t + Time(d)
}

// Sub returns the duration t-u.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Std returns t as a time.Time.
func (t Time) Std() time.Time { return time.UnixMilli(int64(t)) }

// String returns t in RFC 3339 format with milliseconds, in UTC.
func (t Time) String() string {
	return t.Std().UTC().Format("2006-01-02T15:04:05.000Z07:00")
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// Seconds returns d as a number of seconds.
func (d Duration) Seconds() float64 { return float64(d) / float64(Second) }

// String returns d in the notation of the standard library, such as "1.5s".
func (d Duration) String() string { return d.Std().String() }

// FromStd returns t rounded down to whole milliseconds.
func FromStd(t time.Time) Time { return Time(t.UnixMilli()) }

// DurationOf returns d truncated to whole milliseconds.
func DurationOf(d time.Duration) Duration { return Duration(d.Milliseconds()) }

var _ error = (*DurationError)(nil)

// DurationError reports a text that is not a valid duration.
type DurationError struct {
	Text  string
	Cause error
}

func (e *DurationError) Error() string {
	return fmt.Sprintf("duration %q: %v", e.Text, e.Cause)
}

func (e *DurationError) Unwrap() error { return e.Cause }

// ParseDuration parses a duration such as "250ms" or "2h". Its error is a
// *DurationError.
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
