package timekeeper

import (
	"sync/atomic"
	"time"
)

// Clock tells the present instant.
type Clock interface {
	Now() Time
}

var (
	_ Clock = System{}
	_ Clock = (*Manual)(nil)
)

// System is the wall clock of the VM as it stood when the process started,
// carried on by a steady clock: it never goes back when the wall clock is set
// back, because lease and deadline rules compare instants of one process, and
// it goes on while the VM is suspended.
type System struct{}

var (
	processStart = time.Now()
	steadyStart  = steady()
)

// Now returns the instant at which the process started plus the steady time
// that has passed since.
func (System) Now() Time {
	return FromStd(processStart.Add(steady() - steadyStart))
}

// monotonic returns the time that the monotonic clock counted since the
// process started.
func monotonic() time.Duration { return time.Since(processStart) }

// Manual is a clock that moves only when told to. It is safe for concurrent
// use. The zero value stands at the epoch.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock that stands at t.
func NewManual(t Time) *Manual {
	m := &Manual{}
	m.now.Store(int64(t))
	return m
}

// Now returns the instant at which m stands.
func (m *Manual) Now() Time { return Time(m.now.Load()) }

// Advance moves m forward by d.
func (m *Manual) Advance(d Duration) { m.now.Add(int64(d)) }
