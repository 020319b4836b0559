package timekeeper

import (
	"sync/atomic"
	"time"
)

// Clock returns the current time.
type Clock interface {
	Now() Time
}

var (
	_ Clock = System{}
	_ Clock = (*Manual)(nil)
)

// System is a clock that starts at the wall-clock time of the process start and
// advances with a steady clock. It never goes back, even if the wall clock is
// set back, because lease and deadline rules compare times of one process. It
// includes the time during which the VM is suspended.
type System struct{}

var (
	processStart = time.Now()
	steadyStart  = steady()
)

// Now returns the start time of the process plus the steady time since then.
func (System) Now() Time {
	return FromStd(processStart.Add(steady() - steadyStart))
}

// monotonic returns the time since the process start on the monotonic clock.
func monotonic() time.Duration { return time.Since(processStart) }

// Manual is a clock that only Advance moves. It is safe for concurrent use. The
// zero value is set to the Unix epoch.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock that is set to t.
func NewManual(t Time) *Manual {
	m := &Manual{}
	m.now.Store(int64(t))
	return m
}

// Now returns the time to which m is set.
func (m *Manual) Now() Time { return Time(m.now.Load()) }

// Advance moves m forward by d.
func (m *Manual) Advance(d Duration) { m.now.Add(int64(d)) }
