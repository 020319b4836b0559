package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// LocateInterval is the time between two queries for the same stream.
const LocateInterval = 200 * timekeeper.Millisecond

// StreamOrigin is the service and the version of its servers at which a stream began.
type StreamOrigin struct {
	Service identifier.ServiceName
	Version identifier.Version
}

// BegunStreams are streams with the same origin.
type BegunStreams struct {
	Origin  StreamOrigin
	Streams []identifier.StreamKey
}

// StreamQuery asks for the origin of a stream.
type StreamQuery struct {
	// Stream is zero if the caller did not state which stream it resumes.
	Stream identifier.StreamKey
	// Service is the service to which the caller's request is routed.
	Service identifier.ServiceName
	// Span is the longest time since the stream began.
	Span timekeeper.Duration
}

// Requests for the origins of streams.
type (
	// LocateStream asks peers for the origin of a stream. While none of them knows it, they
	// are asked again until RepeatFor is over, because its report may be on the way.
	LocateStream struct {
		Exchange  identifier.ExchangeID
		Addresses []string
		Query     StreamQuery
		RepeatFor timekeeper.Duration
	}
	// StreamLocated reports the origin of a stream. It is not Known if no peer that answered
	// in time knows it. Sole reports that the service had servers of no other version when the
	// stream can have begun; if it is not Known, as far as a node knows whose entries may lack a
	// version that serves by now.
	StreamLocated struct {
		Exchange identifier.ExchangeID
		Known    bool
		Sole     bool
		Origin   StreamOrigin
		// Unanswered reports that a peer did not answer, which may know the origin.
		Unanswered bool
	}
	// StreamRequested reports that a peer asks this node for the origin of a stream.
	StreamRequested struct {
		Ticket identifier.Ticket
		Query  StreamQuery
	}
	// ReportStreams reports to a peer which streams have just begun, ahead of the next state
	// update, which reports them again.
	ReportStreams struct {
		Address string
		Streams []BegunStreams
	}
	// StreamsReported carries the streams that a peer reports.
	StreamsReported struct{ Streams []BegunStreams }
	// AnswerStream answers a StreamRequested event.
	AnswerStream struct {
		Ticket identifier.Ticket
		Answer StreamLocated
	}
)

func (StreamLocated) eventBody()   {}
func (StreamRequested) eventBody() {}
func (StreamsReported) eventBody() {}

func (LocateStream) effect()  {}
func (AnswerStream) effect()  {}
func (ReportStreams) effect() {}
