package mover_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/mover"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const start timekeeper.Time = 1_000_000

// config describes the move of a stream whose server leaves two seconds after start.
func config(copyFirst bool) mover.Config {
	return mover.Config{
		Exchange:    1,
		Source:      "i-1",
		Destination: "i-2",
		Notice: mover.Notice{
			At:       start,
			LeavesIn: 2 * timekeeper.Second,
		},
		Began:     start,
		CopyFirst: copyFirst,
	}
}

// step is an event of a move and the action that must follow.
type step struct {
	event func(m *mover.Move, now timekeeper.Time) mover.Action
	want  mover.Action
	// delay is the time since the step before.
	delay timekeeper.Duration
}

// on returns a step.
func on(event func(*mover.Move, timekeeper.Time) mover.Action, want mover.Action) step {
	return step{
		event: event,
		want:  want,
	}
}

func (s step) after(d timekeeper.Duration) step {
	s.delay = d
	return s
}

func answered(result messenger.MoveResult, handle messenger.KVHandle, created int) func(*mover.Move, timekeeper.Time) mover.Action {
	return func(m *mover.Move, now timekeeper.Time) mover.Action {
		return m.Answered(now, messenger.ExchangeMoved{
			Exchange: 1,
			Result:   result,
			Handle:   handle,
			Created:  created,
		})
	}
}

func broke(events int) func(*mover.Move, timekeeper.Time) mover.Action {
	return func(m *mover.Move, now timekeeper.Time) mover.Action { return m.StreamBroke(now, events) }
}

func continuationEnded(notRun bool) func(*mover.Move, timekeeper.Time) mover.Action {
	return func(m *mover.Move, now timekeeper.Time) mover.Action { return m.ContinuationEnded(now, notRun) }
}

func streamEnded(complete bool) func(*mover.Move, timekeeper.Time) mover.Action {
	return func(m *mover.Move, _ timekeeper.Time) mover.Action { return m.StreamEnded(complete) }
}

func began(m *mover.Move, now timekeeper.Time) mover.Action { return m.Began(now) }

func tick(m *mover.Move, now timekeeper.Time) mover.Action { return m.Tick(now) }

// Guards against runs continued before they stopped or from foreign memory, and against leaks.
func TestMove(t *testing.T) {
	tests := []struct {
		name       string
		stopAtOnce bool
		repeatable bool
		// late makes the run go on for a time after it was copied.
		late    bool
		steps   []step
		outcome messenger.MoveOutcome
		// unused is the handle to free in the end.
		unused messenger.KVHandle
		// settled is false if an answer is awaited in the end.
		unsettled bool
	}{
		{
			name: "the stream breaks before the answer",
			steps: []step{
				on(answered(messenger.MoveCopied, "h-1", 3), mover.Call),
				on(broke(5), mover.Wait),
				on(answered(messenger.MoveCopied, "h-1", 5), mover.Continue),
				on(began, mover.End),
			},
			outcome: messenger.MoveContinued,
		},
		{
			name:       "the stream breaks after the answer",
			stopAtOnce: true,
			steps: []step{
				on(answered(messenger.MoveCopied, "h-1", 5), mover.Wait),
				on(broke(5), mover.Continue),
				on(began, mover.End),
			},
			outcome: messenger.MoveContinued,
		},
		{
			name: "the destination has no room",
			steps: []step{
				on(answered(messenger.MoveNoRoom, "", 0), mover.End),
			},
			outcome: messenger.MoveNotMade,
		},
		{
			name:       "the destination has no room for a stopped run",
			stopAtOnce: true,
			steps: []step{
				on(broke(5), mover.Wait),
				on(answered(messenger.MoveNoRoom, "h-1", 5), mover.Return),
				on(began, mover.End),
			},
			outcome: messenger.MoveReturned,
		},
		{
			name:       "no room and no handle",
			stopAtOnce: true,
			steps: []step{
				on(broke(5), mover.Wait),
				on(answered(messenger.MoveNoRoom, "", 0), mover.Abandon),
			},
			outcome: messenger.MoveLost,
		},
		{
			name:       "the destination is lost before it is sent the stream",
			stopAtOnce: true,
			steps: []step{
				on(answered(messenger.MoveCopied, "h-1", 5), mover.Wait),
				on(broke(5), mover.Continue),
				on((*mover.Move).DestinationLost, mover.Return),
				on(began, mover.End),
			},
			outcome: messenger.MoveReturned,
		},
		{
			name:       "the handle is too old at the destination",
			stopAtOnce: true,
			steps: []step{
				on(answered(messenger.MoveCopied, "h-1", 5), mover.Wait),
				on(broke(5), mover.Continue),
				on(continuationEnded(true), mover.Return),
				on(continuationEnded(true), mover.Abandon),
			},
			outcome: messenger.MoveLost,
			unused:  "h-1",
		},
		{
			name:       "the source has left when the destination refuses",
			stopAtOnce: true,
			steps: []step{
				on(answered(messenger.MoveCopied, "h-1", 5), mover.Wait),
				on(broke(5), mover.Continue),
				on(continuationEnded(true), mover.Abandon).after(2 * timekeeper.Second),
			},
			outcome: messenger.MoveLost,
			unused:  "h-1",
		},
		{
			name:       "the destination ends after it was sent the stream",
			stopAtOnce: true,
			steps: []step{
				on(answered(messenger.MoveCopied, "h-1", 5), mover.Wait),
				on(broke(5), mover.Continue),
				on(continuationEnded(false), mover.Abandon),
			},
			outcome: messenger.MoveLost,
			unused:  "h-1",
		},
		{
			name: "the source ends while it copies",
			steps: []step{
				on(broke(5), mover.Abandon),
				on(answered(messenger.MoveSourceEnded, "", 0), mover.End),
			},
			outcome: messenger.MoveLost,
		},
		{
			name: "the source ends after a first copy",
			steps: []step{
				on(answered(messenger.MoveCopied, "h-1", 3), mover.Call),
				on(broke(5), mover.Wait),
				on(answered(messenger.MoveSourceEnded, "", 0), mover.Continue),
				on(began, mover.End),
			},
			outcome: messenger.MoveContinued,
		},
		{
			name: "the first copy arrives after the source ended",
			steps: []step{
				on(broke(5), mover.Abandon),
				on(answered(messenger.MoveCopied, "h-1", 5), mover.End),
			},
			outcome: messenger.MoveLost,
			unused:  "h-1",
		},
		{
			name:       "the answer is lost and the run is found to be gone",
			stopAtOnce: true,
			steps: []step{
				on(broke(5), mover.Wait),
				on(answered(messenger.MoveUnanswered, "", 0), mover.Repeat),
				on(answered(messenger.MoveNoRun, "", 0), mover.Abandon),
			},
			outcome: messenger.MoveLost,
		},
		{
			name:       "the answer is lost and the source still copies",
			stopAtOnce: true,
			steps: []step{
				on(broke(5), mover.Wait),
				on(answered(messenger.MoveUnanswered, "", 0), mover.Repeat),
				on(answered(messenger.MoveInProgress, "", 0), mover.Repeat),
				on(answered(messenger.MoveCopied, "h-2", 5), mover.Continue),
				on(began, mover.End),
			},
			outcome: messenger.MoveContinued,
		},
		{
			name:       "all answers are lost",
			stopAtOnce: true,
			steps: []step{
				on(broke(5), mover.Wait),
				on(answered(messenger.MoveUnanswered, "", 0), mover.Repeat),
				on(answered(messenger.MoveUnanswered, "", 0), mover.Repeat),
				on(answered(messenger.MoveUnanswered, "", 0), mover.Repeat),
				on(answered(messenger.MoveUnanswered, "", 0), mover.Abandon),
			},
			outcome: messenger.MoveLost,
		},
		{
			name:       "a repeatable stream waits too long for its memory",
			stopAtOnce: true,
			repeatable: true,
			steps: []step{
				on(broke(5), mover.Wait),
				on(tick, mover.Wait).after(900),
				on(tick, mover.Abandon).after(100),
				on(answered(messenger.MoveCopied, "h-1", 5), mover.End),
			},
			outcome: messenger.MoveLost,
			unused:  "h-1",
		},
		{
			name:       "a stream that may run once waits on",
			stopAtOnce: true,
			steps: []step{
				on(broke(5), mover.Wait),
				on(tick, mover.Wait).after(1400),
				on(answered(messenger.MoveCopied, "h-1", 5), mover.Continue),
				on(began, mover.End),
			},
			outcome: messenger.MoveContinued,
		},
		{
			name:       "the stream ends by itself",
			stopAtOnce: true,
			steps: []step{
				on(streamEnded(true), mover.End),
				on(answered(messenger.MoveNoRun, "", 0), mover.End),
			},
			outcome: messenger.MoveStreamEnded,
		},
		{
			name: "the stream ends by itself after its last copy",
			steps: []step{
				on(answered(messenger.MoveCopied, "h-1", 3), mover.Call),
				on(streamEnded(true), mover.End),
				on(answered(messenger.MoveCopied, "h-2", 5), mover.End),
			},
			outcome: messenger.MoveStreamEnded,
			unused:  "h-2",
		},
		{
			name:       "the caller leaves while the run is being stopped",
			stopAtOnce: true,
			steps: []step{
				on(streamEnded(false), mover.End),
				on(answered(messenger.MoveCopied, "h-1", 5), mover.End),
			},
			outcome: messenger.MoveCallerLeft,
			unused:  "h-1",
		},
		{
			name:       "the caller leaves before the stream goes on",
			stopAtOnce: true,
			steps: []step{
				on(answered(messenger.MoveCopied, "h-1", 5), mover.Wait),
				on(broke(5), mover.Continue),
				on(streamEnded(false), mover.End),
			},
			outcome: messenger.MoveCallerLeft,
			unused:  "h-1",
		},
		{
			name: "a malformed answer to the first call",
			steps: []step{
				on(answered(messenger.MoveMalformed, "", 0), mover.End),
			},
			outcome: messenger.MoveNotMade,
		},
		{
			name:       "a malformed answer to the last call",
			stopAtOnce: true,
			steps: []step{
				on(broke(5), mover.Wait),
				on(answered(messenger.MoveMalformed, "", 0), mover.Abandon),
			},
			outcome: messenger.MoveLost,
		},
		{
			name:       "memory of a run that made fewer events",
			stopAtOnce: true,
			steps: []step{
				on(broke(5), mover.Wait),
				on(answered(messenger.MoveCopied, "h-1", 4), mover.Abandon),
			},
			outcome: messenger.MoveLost,
			unused:  "h-1",
		},
		{
			name:       "the run goes on although it was called to stop",
			stopAtOnce: true,
			steps: []step{
				on(answered(messenger.MoveNoRun, "", 0), mover.End),
			},
			outcome: messenger.MoveNotMade,
		},
		{
			name:       "the source has not answered yet",
			stopAtOnce: true,
			steps: []step{
				on(streamEnded(false), mover.End),
			},
			outcome:   messenger.MoveCallerLeft,
			unsettled: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := config(!test.stopAtOnce)
			c.Repeatable = test.repeatable
			m := mover.NewTable().Begin(c)
			now := start
			for i, s := range test.steps {
				now = now.Add(s.delay)
				require.Equal(t, s.want, s.event(m, now), "step %d", i)
			}
			require.True(t, m.Over())
			require.Equal(t, !test.unsettled, m.Settled())
			handle, unused := m.Unused()
			require.Equal(t, test.unused != "", unused)
			if unused {
				require.Equal(t, test.unused, handle)
			}
			record, first := m.Record(now)
			require.True(t, first)
			require.Equal(t, test.outcome, record.Outcome)
			_, first = m.Record(now)
			require.False(t, first)
		})
	}
}

// The first call must let the run go on, and the second one stop it.
func TestCallsStopTheRunLast(t *testing.T) {
	m := mover.NewTable().Begin(config(true))
	require.False(t, m.Last())
	require.False(t, m.Stopping())
	require.Equal(t, mover.Call, answered(messenger.MoveCopied, "h-1", 3)(m, start))
	require.True(t, m.Last())
	require.True(t, m.Stopping())
	require.True(t, mover.NewTable().Begin(config(false)).Last())
}

// Guards against more moves at once from or to a server than it can copy.
func TestTableBoundsMoves(t *testing.T) {
	table := mover.NewTable()
	var last *mover.Move
	for table.MayLeave("i-1", 0) && table.MayReceive("i-2") {
		c := config(false)
		c.Exchange = identifier.ExchangeID(table.Len())
		last = table.Begin(c)
		require.Less(t, table.Len(), 64)
	}
	require.False(t, table.MayLeave("i-1", 0))
	require.True(t, table.MayLeave("i-3", 0))
	require.False(t, table.MayLeave("i-3", 3), "a stream must not move on and on")
	table.End(last)
	require.True(t, table.MayLeave("i-1", 0))
	require.True(t, table.MayReceive("i-2"))
}
