package relayer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// farFuture is the remaining time from which a deadline counts as Never.
const farFuture = 1000 * 24 * timekeeper.Hour

func encodeEnvelope(self identifier.VMID, c Clock) *pb.Envelope {
	s := c.Stamp()
	return &pb.Envelope{
		From: string(self),
		Stamp: &pb.Stamp{
			TimeMs: int64(s.Time),
			Count:  s.Count,
		},
	}
}

func decodeStamp(e *pb.Envelope) historian.Stamp {
	return historian.Stamp{
		Time:  timekeeper.Time(e.GetStamp().GetTimeMs()),
		Count: e.GetStamp().GetCount(),
		VM:    identifier.VMID(e.GetFrom()),
	}
}

// encodePush omits the parts of the spec that the peer already has: the
// hashes of a long prompt would be larger than the tokens of a push.
func encodePush(now timekeeper.Time, p Push) *pb.PushRequest {
	request := &pb.PushRequest{
		Spec:  &pb.Spec{Request: string(p.Spec.Request)},
		Epoch: uint32(p.Epoch),
		Place: &pb.Place{
			Attempt: uint32(p.Placement.Attempt),
			Server:  string(p.Placement.Server),
			Stream:  string(p.Placement.Stream),
		},
		Pieces: encodePieces(p.Pieces),
		Reply:  encodeReply(p.Reply),
	}
	if p.Body != nil {
		request.Spec = encodeSpec(now, p.Spec)
		request.Body = encodeBody(p.Body)
	}
	return request
}

func decodePush(now timekeeper.Time, q *pb.PushRequest) Push {
	p := Push{
		Spec:  messenger.RequestSpec{Request: identifier.RequestID(q.GetSpec().GetRequest())},
		Epoch: identifier.Epoch(q.GetEpoch()),
		Placement: answerer.Placement{
			Attempt: identifier.AttemptNumber(q.GetPlace().GetAttempt()),
			Server:  identifier.VMID(q.GetPlace().GetServer()),
			Stream:  identifier.StreamName(q.GetPlace().GetStream()),
		},
		Pieces: decodePieces(q.GetPieces()),
		Reply:  decodeReply(q.GetReply()),
	}
	if q.GetBody() != nil {
		p.Spec = decodeSpec(now, q.GetSpec())
		p.Body = decodeBody(q.GetBody())
	}
	return p
}

func encodeSpec(now timekeeper.Time, s messenger.RequestSpec) *pb.Spec {
	e := &pb.Spec{
		Request:      string(s.Request),
		Account:      string(s.Account),
		Service:      string(s.Service),
		Key:          string(s.Key),
		Idempotent:   s.Idempotent,
		Long:         s.Long,
		Home:         string(s.EntryNode),
		AgeMs:        int64(now.Sub(s.Received)),
		RemainingMs:  int64(s.Deadline.Sub(now)),
		BodySize:     int64(s.BodySize),
		PromptTokens: int64(s.PromptTokens),
		MaxTokens:    int64(s.MaxTokens),
		Content:      uint64(s.Content),
	}
	for _, hash := range s.Prefix {
		e.Prefix = append(e.Prefix, uint64(hash))
	}
	return e
}

func decodeSpec(now timekeeper.Time, e *pb.Spec) messenger.RequestSpec {
	s := messenger.RequestSpec{
		Request:      identifier.RequestID(e.GetRequest()),
		Account:      identifier.AccountID(e.GetAccount()),
		Service:      identifier.ServiceName(e.GetService()),
		Key:          identifier.IdempotencyKey(e.GetKey()),
		Idempotent:   e.GetIdempotent(),
		Long:         e.GetLong(),
		EntryNode:    identifier.VMID(e.GetHome()),
		Received:     now.Add(-timekeeper.Duration(e.GetAgeMs())),
		Deadline:     timekeeper.Never,
		BodySize:     identifier.Bytes(e.GetBodySize()),
		PromptTokens: identifier.Tokens(e.GetPromptTokens()),
		MaxTokens:    identifier.Tokens(e.GetMaxTokens()),
		Content:      identifier.ContentHash(e.GetContent()),
	}
	if remaining := timekeeper.Duration(e.GetRemainingMs()); remaining < farFuture {
		s.Deadline = now.Add(remaining)
	}
	for _, hash := range e.GetPrefix() {
		s.Prefix = append(s.Prefix, identifier.PrefixHash(hash))
	}
	return s
}

func encodeBody(b *answerer.Body) *pb.Body {
	return &pb.Body{
		Prompt:      []byte(b.Prompt),
		Method:      []byte(b.Method),
		Path:        []byte(b.Path),
		ContentType: []byte(b.ContentType),
		Content:     b.Content,
	}
}

func decodeBody(e *pb.Body) *answerer.Body {
	return &answerer.Body{
		Prompt:      string(e.GetPrompt()),
		Method:      string(e.GetMethod()),
		Path:        string(e.GetPath()),
		ContentType: string(e.GetContentType()),
		Content:     e.GetContent(),
	}
}

func encodePieces(pieces []answerer.Piece) []*pb.Piece {
	var es []*pb.Piece
	for _, p := range pieces {
		es = append(es, &pb.Piece{
			Index: int64(p.Index),
			Text:  []byte(p.Text),
		})
	}
	return es
}

func decodePieces(es []*pb.Piece) []answerer.Piece {
	var pieces []answerer.Piece
	for _, e := range es {
		pieces = append(pieces, answerer.Piece{
			Index: identifier.Tokens(e.GetIndex()),
			Text:  string(e.GetText()),
		})
	}
	return pieces
}

func encodeReply(r *answerer.Reply) *pb.Reply {
	if r == nil {
		return nil
	}
	e := &pb.Reply{
		Status: int32(r.Status),
		Header: make(map[string][]byte, len(r.Header)),
		Body:   r.Body,
	}
	for name, value := range r.Header {
		e.Header[name] = []byte(value)
	}
	return e
}

func decodeReply(e *pb.Reply) *answerer.Reply {
	if e == nil {
		return nil
	}
	r := &answerer.Reply{
		Status: int(e.GetStatus()),
		Header: make(map[string]string, len(e.GetHeader())),
		Body:   e.GetBody(),
	}
	for name, value := range e.GetHeader() {
		r.Header[name] = string(value)
	}
	return r
}

func decodeQuery(q *pb.QuestionRequest) Query {
	return Query{
		Request: identifier.RequestID(q.GetRequest()),
		Account: identifier.AccountID(q.GetAccount()),
		Wait:    timekeeper.Duration(q.GetWaitMs()),
	}
}

func encodeEnding(e Ending) *pb.OutcomeReply {
	return &pb.OutcomeReply{
		State:   string(e.State),
		Outcome: string(e.Outcome),
		Reason:  string(e.Reason),
		Pieces:  encodePieces(e.Pieces),
		Reply:   encodeReply(e.Reply),
	}
}

func decodeEnding(r *pb.OutcomeReply) Ending {
	return Ending{
		State:   EndingState(r.GetState()),
		Outcome: messenger.Outcome(r.GetOutcome()),
		Reason:  messenger.Reason(r.GetReason()),
		Pieces:  decodePieces(r.GetPieces()),
		Reply:   decodeReply(r.GetReply()),
	}
}
