package relayer

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Stream asks a peer at which version of a service a stream began.
func (c *Client) Stream(ctx context.Context, address string, q messenger.StreamQuery) (messenger.StreamLocated, error) {
	request := &pb.StreamRequest{
		Envelope: c.envelope(),
		Stream:   uint64(q.Stream),
		Service:  string(q.Service),
		SpanMs:   int64(q.Span),
	}
	reply, err := call(ctx, c, address, "stream", request, pb.Peers.Stream)
	return messenger.StreamLocated{
		Known: reply.GetKnown(),
		Sole:  reply.GetSole(),
		Origin: messenger.StreamOrigin{
			Service: identifier.ServiceName(reply.GetService()),
			Version: identifier.Version(reply.GetVersion()),
		},
	}, err
}

// Stream implements pb.Peers.
func (h *handler) Stream(ctx context.Context, q *pb.StreamRequest) (*pb.StreamReply, error) {
	h.openEnvelope(q.GetEnvelope())
	answer := h.config.Peer.LocateStream(ctx, messenger.StreamQuery{
		Stream:  identifier.StreamKey(q.GetStream()),
		Service: identifier.ServiceName(q.GetService()),
		Span:    timekeeper.Duration(max(q.GetSpanMs(), 0)),
	})
	return &pb.StreamReply{
		Envelope: h.envelope(),
		Known:    answer.Known,
		Service:  string(answer.Origin.Service),
		Version:  string(answer.Origin.Version),
		Sole:     answer.Sole,
	}, nil
}

func encodeBegunStreams(s messenger.BegunStreams) *pb.BegunStreams {
	out := &pb.BegunStreams{
		Service: string(s.Origin.Service),
		Version: string(s.Origin.Version),
	}
	for _, stream := range s.Streams {
		out.Streams = append(out.Streams, uint64(stream))
	}
	return out
}

func decodeBegunStreams(s *pb.BegunStreams) messenger.BegunStreams {
	out := messenger.BegunStreams{
		Origin: messenger.StreamOrigin{
			Service: identifier.ServiceName(s.GetService()),
			Version: identifier.Version(s.GetVersion()),
		},
	}
	for _, stream := range s.GetStreams() {
		out.Streams = append(out.Streams, identifier.StreamKey(stream))
	}
	return out
}
