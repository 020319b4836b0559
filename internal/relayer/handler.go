package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxBodyTime bounds the time in which a message is read. Peers give a call up sooner.
const maxBodyTime = 3 * time.Second

// HandlerConfig configures the handler of peer calls. A zero MaxMessage
// stands for the default.
type HandlerConfig struct {
	Self       identifier.VMID
	Peer       Peer
	Now        timekeeper.Clock
	Clock      Clock
	MaxMessage identifier.Bytes
}

// NewHandler returns the HTTP handler of the peer port.
func NewHandler(c HandlerConfig) http.Handler {
	if c.MaxMessage <= 0 {
		c.MaxMessage = DefaultMaxMessage
	}
	service := pb.NewPeersServer(&handler{config: c})
	updates := newLargeUpdates(service)
	rationer := newRationer()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &timedBody{
			ReadCloser: rationer.Body(r.Context(), http.MaxBytesReader(w, r.Body, int64(c.MaxMessage))),
			controller: http.NewResponseController(w),
		}
		defer func() { _ = body.Close() }()
		body.setDeadline(time.Now().Add(maxBodyTime))
		bounded := *r
		bounded.Body = body
		updates.ServeHTTP(w, &bounded)
	})
}

// timedBody is the body of a message. At its end it lifts the deadline of the connection, which
// would otherwise cancel the call while its handler waits.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

var _ io.ReadCloser = (*timedBody)(nil)

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.setDeadline(time.Time{})
	}
	return n, err
}

// setDeadline has no effect on a connection that supports no deadlines.
func (b *timedBody) setDeadline(t time.Time) { _ = b.controller.SetReadDeadline(t) }

type handler struct{ config HandlerConfig }

var _ pb.Peers = (*handler)(nil)

// openEnvelope merges the clock stamp of a message and returns its sender.
func (h *handler) openEnvelope(e *pb.Envelope) identifier.VMID {
	h.config.Clock.Observe(decodeStamp(e))
	return identifier.VMID(e.GetFrom())
}

func (h *handler) envelope() *pb.Envelope { return encodeEnvelope(h.config.Self, h.config.Clock) }

// Gossip implements pb.Peers.
func (h *handler) Gossip(_ context.Context, q *pb.GossipRequest) (*pb.GossipReply, error) {
	h.config.Peer.ReceiveGossip(h.openEnvelope(q.GetEnvelope()), q.GetData())
	return &pb.GossipReply{Envelope: h.envelope()}, nil
}

// Hold implements pb.Peers.
func (h *handler) Hold(ctx context.Context, q *pb.PushRequest) (*pb.HoldReply, error) {
	from := h.openEnvelope(q.GetEnvelope())
	answer := h.config.Peer.StoreCopy(ctx, from, decodePush(h.config.Now.Now(), q))
	return &pb.HoldReply{
		Envelope: h.envelope(),
		Answer:   string(answer),
	}, nil
}

// Unhold implements pb.Peers.
func (h *handler) Unhold(ctx context.Context, q *pb.UnholdRequest) (*pb.UnholdReply, error) {
	h.config.Peer.DropCopy(ctx, h.openEnvelope(q.GetEnvelope()), identifier.RequestID(q.GetRequest()))
	return &pb.UnholdReply{Envelope: h.envelope()}, nil
}

// HandOver implements pb.Peers.
func (h *handler) HandOver(ctx context.Context, q *pb.PushRequest) (*pb.HandOverReply, error) {
	from := h.openEnvelope(q.GetEnvelope())
	if q.GetBody() == nil {
		return nil, twirp.RequiredArgumentError("body")
	}
	if err := h.config.Peer.TakeOver(ctx, from, decodePush(h.config.Now.Now(), q)); err != nil {
		return nil, handoverError(ctx, err)
	}
	return &pb.HandOverReply{Envelope: h.envelope()}, nil
}

// handoverError reports to the sender that the call had no effect. If the
// call ended before the peer decided, it may still take effect, and the error
// code does not claim otherwise.
func handoverError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return twirp.WrapError(twirp.NewError(twirp.Unknown, err.Error()), err)
	}
	return twirp.WrapError(twirp.NewError(twirp.FailedPrecondition, err.Error()), err)
}

// Locate implements pb.Peers.
func (h *handler) Locate(_ context.Context, q *pb.QuestionRequest) (*pb.LocateReply, error) {
	h.openEnvelope(q.GetEnvelope())
	location, known := h.config.Peer.Locate(decodeQuery(q))
	return &pb.LocateReply{
		Envelope: h.envelope(),
		Known:    known,
		Address:  location.Address,
		Copy:     location.Copy,
	}, nil
}

// Outcome implements pb.Peers.
func (h *handler) Outcome(ctx context.Context, q *pb.QuestionRequest) (*pb.OutcomeReply, error) {
	h.openEnvelope(q.GetEnvelope())
	reply := encodeEnding(h.config.Peer.Ending(ctx, decodeQuery(q)))
	reply.Envelope = h.envelope()
	return reply, nil
}

// Share implements pb.Peers.
func (h *handler) Share(_ context.Context, q *pb.ShareRequest) (*pb.ShareReply, error) {
	h.config.Peer.ReceiveStateUpdate(h.openEnvelope(q.GetEnvelope()), decodeStateUpdate(q))
	return &pb.ShareReply{Envelope: h.envelope()}, nil
}

// Limit implements pb.Peers.
func (h *handler) Limit(ctx context.Context, q *pb.LimitRequest) (*pb.LimitReply, error) {
	h.openEnvelope(q.GetEnvelope())
	answer := h.config.Peer.GrantLimit(ctx, identifier.AccountID(q.GetAccount()), identifier.Tokens(max(q.GetTokens(), 0)))
	return &pb.LimitReply{
		Envelope:     h.envelope(),
		Granted:      answer.Granted,
		Unknown:      answer.Unknown,
		NotGranting:  answer.NotGranting,
		RetryAfterMs: int64(answer.RetryAfter),
	}, nil
}

// Configuration implements pb.Peers.
func (h *handler) Configuration(ctx context.Context, q *pb.ConfigurationRequest) (*pb.ConfigurationReply, error) {
	h.openEnvelope(q.GetEnvelope())
	data, known := h.config.Peer.ExportConfiguration(ctx)
	return &pb.ConfigurationReply{
		Envelope: h.envelope(),
		Known:    known,
		Data:     data,
	}, nil
}
