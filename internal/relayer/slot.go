package relayer

import (
	"context"
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Slot requests a slot at a brittle server from the node that allocates them.
func (c *Client) Slot(ctx context.Context, address string, r messenger.SlotReport) (messenger.SlotAnswered, error) {
	reply, err := call(ctx, c, address, "slot", &pb.SlotRequest{Report: c.encodeSlots(r)}, pb.Peers.Slot)
	return messenger.SlotAnswered{
		Server:        identifier.VMID(reply.GetServer()),
		Unknown:       reply.GetUnknown(),
		NotAllocating: reply.GetNotAllocating(),
	}, err
}

// ReportSlots reports requests that have ended at brittle servers.
func (c *Client) ReportSlots(ctx context.Context, address string, r messenger.SlotReport) error {
	_, err := call(ctx, c, address, "report_slots", c.encodeSlots(r), pb.Peers.ReportSlots)
	return err
}

// Slot implements pb.Peers.
func (h *handler) Slot(ctx context.Context, q *pb.SlotRequest) (*pb.SlotReply, error) {
	answer := h.config.Peer.GrantSlot(ctx, h.decodeSlots(q.GetReport()))
	return &pb.SlotReply{
		Envelope:      h.envelope(),
		Server:        string(answer.Server),
		NotAllocating: answer.NotAllocating,
		Unknown:       answer.Unknown,
	}, nil
}

// ReportSlots implements pb.Peers.
func (h *handler) ReportSlots(_ context.Context, q *pb.SlotReport) (*pb.SlotReportReply, error) {
	h.config.Peer.ReceiveSlots(h.decodeSlots(q))
	return &pb.SlotReportReply{Envelope: h.envelope()}, nil
}

func (c *Client) encodeSlots(r messenger.SlotReport) *pb.SlotReport {
	report := &pb.SlotReport{
		Envelope: c.envelope(),
		Sequence: r.Sequence,
	}
	for _, use := range r.Uses {
		report.Uses = append(report.Uses, &pb.SlotUse{
			Server:   string(use.Server),
			Running:  uint32(min(max(use.Running, 0), math.MaxInt32)),
			Received: use.Received,
			Rejected: use.Rejected,
		})
	}
	return report
}

// decodeSlots omits entries without a server or with an absurd number of requests.
func (h *handler) decodeSlots(q *pb.SlotReport) messenger.SlotReport {
	report := messenger.SlotReport{
		From:     h.openEnvelope(q.GetEnvelope()),
		Sequence: q.GetSequence(),
	}
	for _, use := range q.GetUses() {
		if use.GetServer() == "" || use.GetRunning() > math.MaxInt32 {
			continue
		}
		report.Uses = append(report.Uses, messenger.SlotUse{
			Server:   identifier.VMID(use.GetServer()),
			Running:  int(use.GetRunning()),
			Received: use.GetReceived(),
			Rejected: use.GetRejected(),
		})
	}
	return report
}
