package relayer

import (
	"context"
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Permit requests a permit to send to a server that states a limit from the
// node that grants permits.
func (c *Client) Permit(ctx context.Context, address string, limits []messenger.ServerLimit) (messenger.PermitAnswered, error) {
	request := &pb.PermitRequest{
		Envelope: c.envelope(),
		Limits:   encodeLimits(limits),
	}
	reply, err := call(ctx, c, address, "permit", request, pb.Peers.Permit)
	return messenger.PermitAnswered{
		Server:      identifier.VMID(reply.GetServer()),
		RetryAfter:  timekeeper.Duration(max(reply.GetRetryAfterMs(), 0)),
		Unknown:     reply.GetUnknown(),
		NotGranting: reply.GetNotGranting(),
	}, err
}

// Permit implements pb.Peers.
func (h *handler) Permit(ctx context.Context, q *pb.PermitRequest) (*pb.PermitReply, error) {
	h.openEnvelope(q.GetEnvelope())
	answer := h.config.Peer.GrantPermit(ctx, decodeLimits(q.GetLimits()))
	return &pb.PermitReply{
		Envelope:     h.envelope(),
		Server:       string(answer.Server),
		RetryAfterMs: int64(answer.RetryAfter),
		Unknown:      answer.Unknown,
		NotGranting:  answer.NotGranting,
	}, nil
}

func encodeLimits(limits []messenger.ServerLimit) []*pb.ServerLimit {
	var out []*pb.ServerLimit
	for _, l := range limits {
		out = append(out, &pb.ServerLimit{
			Server:            string(l.Server),
			Limited:           l.Limited,
			RequestsPerSecond: float64(l.Rate),
			AgeMs:             int64(l.Age),
		})
	}
	return out
}

// decodeLimits omits entries without a server or with an invalid rate.
func decodeLimits(limits []*pb.ServerLimit) []messenger.ServerLimit {
	var out []messenger.ServerLimit
	for _, l := range limits {
		rate := l.GetRequestsPerSecond()
		if l.GetServer() == "" || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			continue
		}
		out = append(out, messenger.ServerLimit{
			Server:  identifier.VMID(l.GetServer()),
			Limited: l.GetLimited(),
			Rate:    identifier.RequestRate(rate),
			Age:     timekeeper.Duration(max(l.GetAgeMs(), 0)),
		})
	}
	return out
}
