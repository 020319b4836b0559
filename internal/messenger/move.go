package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// KVHandle names a copy of a run's memory at a backend server.
type KVHandle string

// Continuation names the memory from which a server continues a stream that ran elsewhere. It
// is empty for all other requests.
type Continuation struct {
	// Source is the address of the server that ran the stream.
	Source string
	Handle KVHandle
}

// Given reports whether there is memory to continue from.
func (c Continuation) Given() bool { return c.Handle != "" }

// MoveResult is the result of a call to a server that runs a stream.
type MoveResult string

// The results of calls.
const (
	// MoveCopied: the destination holds the memory.
	MoveCopied MoveResult = "copied"
	// MoveNoRoom: the destination has no room or is unreachable. If the run was to stop, it
	// has, and the source keeps its memory under the handle.
	MoveNoRoom MoveResult = "no_room"
	// MoveNoRun: the source does not run the stream.
	MoveNoRun MoveResult = "no_run"
	// MoveInProgress: the source still carries out an earlier call.
	MoveInProgress MoveResult = "in_progress"
	// MoveMalformed: the answer can't be read.
	MoveMalformed MoveResult = "malformed"
	// MoveUnanswered: no answer, so that the run may have stopped.
	MoveUnanswered MoveResult = "unanswered"
	// MoveSourceEnded: the source's address refuses connections.
	MoveSourceEnded MoveResult = "source_ended"
)

// MoveOutcome is the end of a move.
type MoveOutcome string

// The outcomes of moves.
const (
	// MoveContinued: the stream goes on at the destination.
	MoveContinued MoveOutcome = "continued"
	// MoveReturned: the stream goes on at the source.
	MoveReturned MoveOutcome = "returned"
	// MoveStreamEnded: the stream ended by itself.
	MoveStreamEnded MoveOutcome = "stream_ended"
	// MoveCallerLeft: the caller disconnected.
	MoveCallerLeft MoveOutcome = "caller_left"
	// MoveNotMade: the run was not copied and goes on at the source.
	MoveNotMade MoveOutcome = "not_made"
	// MoveLost: the run stopped and can't be continued from its memory.
	MoveLost MoveOutcome = "lost"
)

type (
	// MoveExchange has the server that runs a stream copy the run's memory to another server.
	// With Last the run stops first, and its stream ends without its last event.
	MoveExchange struct {
		Exchange           identifier.ExchangeID
		Request            identifier.RequestID
		SourceAddress      string
		DestinationAddress string
		Last               bool
		// Delay is the time before the call, and Timeout that for its answer.
		Delay   timekeeper.Duration
		Timeout timekeeper.Duration
	}
	// ExchangeMoved reports the end of that call.
	ExchangeMoved struct {
		Exchange identifier.ExchangeID
		Result   MoveResult
		Handle   KVHandle
		// Created is the number of events that the run has generated.
		Created int
	}
	// FreeMemory frees the copies of a run's memory that nothing will continue from.
	FreeMemory struct {
		Request       identifier.RequestID
		SourceAddress string
		Handle        KVHandle
	}
	// RecordMove records the end of a move in the log and in the metrics.
	RecordMove struct {
		Request     identifier.RequestID
		Source      identifier.VMID
		Destination identifier.VMID
		Outcome     MoveOutcome
		// Result is that of the last call.
		Result  MoveResult
		Calls   int
		Created int
		// Tokens is the size of the run's memory when the move began.
		Tokens  identifier.Tokens
		Elapsed timekeeper.Duration
		// Pause is the time from the end of the stream at the source until it goes on, and
		// Waited the part of it until the memory was copied.
		Pause  timekeeper.Duration
		Waited timekeeper.Duration
	}
)

func (ExchangeMoved) eventBody() {}
func (MoveExchange) effect()     {}
func (FreeMemory) effect()       {}
func (RecordMove) effect()       {}
