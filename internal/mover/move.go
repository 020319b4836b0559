package mover

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxRepeats bounds the calls that repeat one without a usable answer.
	maxRepeats = 3
	// maxReturnTime is the time after the notice of a server within which a stream may return
	// to it, and maxReturnDrain the part of the time for which it still may receive requests.
	// In the rest, the notice reaches this node and the request reaches the server.
	maxReturnTime  = 1500 * timekeeper.Millisecond
	maxReturnDrain = 0.5
	// maxPause is the time for which a repeatable stream that has broken waits for its memory.
	// Callers abandon a stream after a gap of two seconds or more.
	maxPause = 1 * timekeeper.Second
	// RepeatDelay is the time before a call is repeated.
	RepeatDelay = 100 * timekeeper.Millisecond
	// CallTimeout is the timeout of a call: the longest time for which copies of other runs
	// may go ahead of one.
	CallTimeout = 1500 * timekeeper.Millisecond
)

// Config describes a move.
type Config struct {
	Exchange    identifier.ExchangeID
	Request     identifier.RequestID
	Source      identifier.VMID
	Destination identifier.VMID
	// SourceAddress and DestinationAddress are where the servers are called.
	SourceAddress      string
	DestinationAddress string
	Notice             Notice
	// Drain is the time for which a leaving server may receive requests, or zero if unknown.
	Drain  timekeeper.Duration
	Began  timekeeper.Time
	Tokens identifier.Tokens
	// CopyFirst makes the run go on while its memory is copied.
	CopyFirst bool
	// Repeatable reports that another server could resume the stream without its memory.
	Repeatable bool
}

// returnTime is the time after the notice within which the stream may return to its source.
func (c Config) returnTime() timekeeper.Duration {
	if c.Drain <= 0 {
		return maxReturnTime
	}
	return min(maxReturnTime, timekeeper.Duration(maxReturnDrain*float64(c.Drain)))
}

// state is the state of a move.
type state string

const (
	stateCopying    state = "copying"
	stateStopping   state = "stopping"
	stateStopped    state = "stopped"
	stateContinuing state = "continuing"
	stateReturning  state = "returning"
	stateOver       state = "over"
)

// Action is what follows an event of a move.
type Action string

// The actions.
const (
	// Wait: nothing until the next event.
	Wait Action = "wait"
	// Call: the source is called, see Last.
	Call Action = "call"
	// Repeat: the source is called again after a pause.
	Repeat Action = "repeat"
	// Continue: the destination continues the stream from its memory.
	Continue Action = "continue"
	// Return: the source does so.
	Return Action = "return"
	// Abandon: the stream is not continued from its memory. What follows is the same as
	// without a move.
	Abandon Action = "abandon"
	// End: the move is over and changes nothing.
	End Action = "end"
)

// Move is the state of one move.
type Move struct {
	config Config
	state  state
	// calling reports that a call has not been answered. cancelled reports that its answer
	// changes nothing but the memory to free.
	calling   bool
	cancelled bool
	calls     int
	repeats   int
	result    messenger.MoveResult
	// handle names the copied memory. spent reports that a server goes on from it.
	handle  messenger.KVHandle
	spent   bool
	created int
	// brokenAt is the time at which the stream broke, or zero, and events the number of events
	// that it had brought. waited is the time from then to the answer of the source.
	brokenAt timekeeper.Time
	events   int
	waited   timekeeper.Duration
	// unusable reports that the destination has no copy.
	unusable bool
	outcome  messenger.MoveOutcome
	pause    timekeeper.Duration
	recorded bool
}

func newMove(c Config) *Move {
	m := &Move{
		config: c,
		state:  stateStopping,
	}
	if c.CopyFirst {
		m.state = stateCopying
	}
	m.called()
	return m
}

func (m *Move) called() {
	m.calling = true
	m.calls++
}

// Config returns the description of the move.
func (m *Move) Config() Config { return m.config }

// Last reports whether the next call stops the run.
func (m *Move) Last() bool { return m.state != stateCopying }

// Stopping reports whether the run was called to stop and has not been continued, so that the
// end of its stream says nothing about its server.
func (m *Move) Stopping() bool { return m.state == stateStopping || m.state == stateStopped }

// Settled reports whether the move is over and no call is open.
func (m *Move) Settled() bool { return m.state == stateOver && !m.calling }

// Unused returns the handle of memory that nothing will continue from.
func (m *Move) Unused() (messenger.KVHandle, bool) {
	return m.handle, m.state == stateOver && m.handle != "" && !m.spent
}

// Broken reports whether the stream has broken.
func (m *Move) Broken() bool { return m.brokenAt != 0 }

// Continuation returns the memory to continue from.
func (m *Move) Continuation() messenger.Continuation {
	return messenger.Continuation{
		Source: m.config.SourceAddress,
		Handle: m.handle,
	}
}

// Record returns the end of the move for the log, and whether it was not returned before.
func (m *Move) Record(now timekeeper.Time) (messenger.RecordMove, bool) {
	first := !m.recorded
	m.recorded = true
	return messenger.RecordMove{
		Request:     m.config.Request,
		Source:      m.config.Source,
		Destination: m.config.Destination,
		Outcome:     m.outcome,
		Result:      m.result,
		Calls:       m.calls,
		Created:     m.created,
		Tokens:      m.config.Tokens,
		Elapsed:     now.Sub(m.config.Began),
		Waited:      m.waited,
		Pause:       m.pause,
	}, first
}

// Over reports whether the move is over. A call may still be open.
func (m *Move) Over() bool { return m.state == stateOver }

func (m *Move) end(o messenger.MoveOutcome, a Action) Action {
	m.state = stateOver
	m.outcome = o
	return a
}

// Answered handles the answer of a call.
func (m *Move) Answered(now timekeeper.Time, e messenger.ExchangeMoved) Action {
	m.calling = false
	m.result = e.Result
	if e.Handle != "" {
		m.handle = e.Handle
		m.created = e.Created
	}
	if m.cancelled {
		return End
	}
	switch m.state {
	case stateCopying:
		return m.copied(e)
	case stateStopping:
		return m.stopped(now, e)
	}
	return Wait
}

// copied handles an answer while the run goes on.
func (m *Move) copied(e messenger.ExchangeMoved) Action {
	switch e.Result {
	case messenger.MoveCopied:
		m.state = stateStopping
		m.repeats = 0
		m.called()
		return Call
	case messenger.MoveInProgress, messenger.MoveUnanswered:
		if m.mayRepeat() {
			return Repeat
		}
	}
	return m.end(messenger.MoveNotMade, End)
}

// Tick advances the move to the current time: a stopped run that another server can resume without its
// memory is not kept waiting for it for long.
func (m *Move) Tick(now timekeeper.Time) Action {
	if !m.Waits() || !m.config.Repeatable || now.Sub(m.brokenAt) < maxPause {
		return Wait
	}
	return m.Abandon()
}

// Waits reports whether the stream has broken and waits for the answer of the source.
func (m *Move) Waits() bool { return m.state == stateStopping && m.Broken() }

// stopped handles the answer of a call to stop the run.
func (m *Move) stopped(now timekeeper.Time, e messenger.ExchangeMoved) Action {
	switch e.Result {
	case messenger.MoveCopied:
	case messenger.MoveNoRoom:
		m.unusable = true
		if e.Handle == "" {
			return m.failed()
		}
	case messenger.MoveInProgress, messenger.MoveUnanswered:
		if m.mayRepeat() {
			return Repeat
		}
		return m.failed()
	default:
		return m.failed()
	}
	m.state = stateStopped
	if !m.Broken() {
		return Wait
	}
	return m.resume(now)
}

// failed ends a move whose run did not stop, or can't be continued. If the source has ended, the
// destination continues from an earlier copy.
func (m *Move) failed() Action {
	switch {
	case !m.Broken():
		return m.end(messenger.MoveNotMade, End)
	case m.result == messenger.MoveSourceEnded && m.handle != "":
		m.state = stateContinuing
		return Continue
	}
	return m.end(messenger.MoveLost, Abandon)
}

// mayRepeat reports whether a call may be repeated, and counts the repetition.
func (m *Move) mayRepeat() bool {
	if m.repeats >= maxRepeats {
		return false
	}
	m.repeats++
	m.called()
	return true
}

// StreamBroke handles the end of the stream before its last event. events is the number of events
// that it brought.
func (m *Move) StreamBroke(now timekeeper.Time, events int) Action {
	m.brokenAt = now
	m.events = events
	switch m.state {
	case stateStopping:
		return Wait
	case stateStopped:
		return m.resume(now)
	}
	m.cancelled = m.calling
	return m.end(messenger.MoveLost, Abandon)
}

// resume continues a stopped run whose stream has broken.
func (m *Move) resume(now timekeeper.Time) Action {
	m.waited = now.Sub(m.brokenAt)
	switch {
	case m.created < m.events:
		// The memory is that of another run.
		return m.end(messenger.MoveLost, Abandon)
	case m.unusable:
		return m.giveBack(now)
	}
	m.state = stateContinuing
	return Continue
}

// giveBack continues a stopped run at the source, if that may still receive requests.
func (m *Move) giveBack(now timekeeper.Time) Action {
	left, known := m.config.Notice.left(now)
	if now.Sub(m.config.Notice.At) > m.config.returnTime() || known && left <= 0 {
		return m.end(messenger.MoveLost, Abandon)
	}
	m.state = stateReturning
	return Return
}

// Abandon gives up a move whose run has stopped.
func (m *Move) Abandon() Action {
	m.cancelled = m.calling
	return m.end(messenger.MoveLost, Abandon)
}

// DestinationLost handles a destination that may receive no requests any more.
func (m *Move) DestinationLost(now timekeeper.Time) Action { return m.giveBack(now) }

// Began handles the first event of the continued stream.
func (m *Move) Began(now timekeeper.Time) Action {
	m.pause = now.Sub(m.brokenAt)
	m.spent = true
	if m.state == stateReturning {
		return m.end(messenger.MoveReturned, End)
	}
	return m.end(messenger.MoveContinued, End)
}

// ContinuationEnded handles the end of a continued run before its first event. notRun reports that
// the server did not run it.
func (m *Move) ContinuationEnded(now timekeeper.Time, notRun bool) Action {
	if m.state == stateContinuing && notRun {
		return m.giveBack(now)
	}
	return m.end(messenger.MoveLost, Abandon)
}

// NotAttempted handles a continuation that this node decided on too late to send it.
func (m *Move) NotAttempted(now timekeeper.Time) Action {
	if m.state == stateReturning {
		return m.giveBack(now)
	}
	return Continue
}

// Continuing reports whether the stream was sent to a server to be continued.
func (m *Move) Continuing() bool { return m.state == stateContinuing || m.state == stateReturning }

// StreamEnded handles the end of the exchange: the stream is complete, or the caller has left.
func (m *Move) StreamEnded(complete bool) Action {
	m.cancelled = m.calling
	if complete {
		return m.end(messenger.MoveStreamEnded, End)
	}
	return m.end(messenger.MoveCallerLeft, End)
}
