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

// ReportStreams reports streams that have just begun to a peer.
func (c *Client) ReportStreams(ctx context.Context, address string, streams []messenger.BegunStreams) error {
	request := &pb.StreamReport{
		Envelope: c.envelope(),
		Streams:  encodeStreams(streams),
	}
	_, err := call(ctx, c, address, "report_streams", request, pb.Peers.ReportStreams)
	return err
}

// ReportStreams implements pb.Peers.
func (h *handler) ReportStreams(_ context.Context, q *pb.StreamReport) (*pb.StreamReportReply, error) {
	h.openEnvelope(q.GetEnvelope())
	h.config.Peer.ReceiveStreams(decodeStreams(q.GetStreams()))
	return &pb.StreamReportReply{Envelope: h.envelope()}, nil
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

func encodeStreams(streams []messenger.BegunStreams) []*pb.BegunStreams {
	var out []*pb.BegunStreams
	for _, s := range streams {
		group := &pb.BegunStreams{
			Service: string(s.Origin.Service),
			Version: string(s.Origin.Version),
		}
		for _, stream := range s.Streams {
			group.Streams = append(group.Streams, uint64(stream))
		}
		out = append(out, group)
	}
	return out
}

func decodeStreams(groups []*pb.BegunStreams) []messenger.BegunStreams {
	var out []messenger.BegunStreams
	for _, group := range groups {
		s := messenger.BegunStreams{
			Origin: messenger.StreamOrigin{
				Service: identifier.ServiceName(group.GetService()),
				Version: identifier.Version(group.GetVersion()),
			},
		}
		for _, stream := range group.GetStreams() {
			s.Streams = append(s.Streams, identifier.StreamKey(stream))
		}
		out = append(out, s)
	}
	return out
}
