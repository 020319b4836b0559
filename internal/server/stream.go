package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	contentTypeStream = "text/event-stream"
	// maxWriteBatch is the buffer size, in bytes, at which events are flushed.
	// It limits the memory for a caller that reattaches to a long answer.
	maxWriteBatch = 16 << 10
)

// Event names and data that are not tokens.
const (
	EventMoved = "moved"
	EventError = "error"
	// DataDone is the data of the last event of a complete answer.
	DataDone = "[DONE]"
)

// Moved is the data of an EventMoved. It names the node that now owns the
// request.
type Moved struct {
	Request identifier.RequestID `json:"request_id"`
	Address string               `json:"address"`
}

// eventWriter writes one answer as server-sent events.
type eventWriter struct {
	server *Server
	ctx    iris.Context
	answer *answerer.Answer
	chunks chunkEncoder
	buffer bytes.Buffer
}

// stream writes an answer as server-sent events from the token after the given
// position. If the caller's tokens differ from the answer, it writes a problem
// instead.
func (s *Server) stream(ctx iris.Context, a *answerer.Answer, after position) {
	if after.checked {
		if _, err := a.Check(after.index, after.digest); err != nil {
			divergedProblem(a.Request()).write(ctx)
			return
		}
	}
	header := ctx.ResponseWriter().Header()
	header.Set("Content-Type", contentTypeStream)
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRequestID, string(a.Request()))
	ctx.StatusCode(http.StatusOK)
	w := &eventWriter{
		server: s,
		ctx:    ctx,
		answer: a,
		chunks: newChunkEncoder(a, s.clock.Now()),
	}
	// Send the headers at once, since they contain the request id.
	if w.writeHeartbeat() != nil {
		return
	}
	if err := w.run(after); err != nil {
		s.logger.Debug("stream ended early", "request", a.Request(), "error", err)
	}
}

func (w *eventWriter) run(from position) error {
	if err := w.awaitMatch(from); err != nil {
		return err
	}
	after := from.index
	for {
		pieces, end, err := w.read(after)
		if err != nil {
			return err
		}
		if err := w.writePieces(pieces); err != nil {
			return err
		}
		if len(pieces) > 0 {
			after = pieces[len(pieces)-1].Index
		}
		if end != nil {
			return w.writeEnd(end)
		}
	}
}

// awaitMatch waits until the answer includes the caller's position, and ends
// the stream with a problem if the tokens up to it differ. On a node that
// adopted the request from an older copy, the answer is shorter at first and
// may continue differently from the one that the caller received.
func (w *eventWriter) awaitMatch(from position) error {
	if !from.checked {
		return nil
	}
	err := w.withHeartbeats(func(ctx context.Context) error {
		return w.answer.AwaitCheck(ctx, from.index, from.digest)
	})
	var diverged *answerer.DivergedError
	if errors.As(err, &diverged) {
		w.writeEvent(EventError, divergedProblem(w.answer.Request()))
		return errors.Join(err, w.flush())
	}
	return err
}

// read waits for pieces after the given token, or for the end of the answer.
func (w *eventWriter) read(after identifier.Tokens) ([]answerer.Piece, *answerer.End, error) {
	var (
		pieces []answerer.Piece
		end    *answerer.End
	)
	err := w.withHeartbeats(func(ctx context.Context) error {
		var err error
		pieces, end, err = w.answer.Read(ctx, after)
		return err
	})
	return pieces, end, err
}

// withHeartbeats calls wait until it returns without a timeout, and writes a
// heartbeat after each timeout. A middlebox may drop the state of an open
// connection; without heartbeats the caller could not distinguish that from a
// slow model.
func (w *eventWriter) withHeartbeats(wait func(context.Context) error) error {
	callerCtx := w.ctx.Request().Context()
	for {
		waitCtx, cancel := context.WithTimeout(callerCtx, w.server.limits.HeartbeatInterval.Std())
		err := wait(waitCtx)
		cancel()
		if err == nil || callerCtx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		if err := w.writeHeartbeat(); err != nil {
			return err
		}
	}
}

func (w *eventWriter) writeHeartbeat() error {
	w.buffer.WriteString(": heartbeat\n\n")
	return w.flush()
}

func (w *eventWriter) writePieces(pieces []answerer.Piece) error {
	if len(pieces) == 0 {
		return nil
	}
	digest, _ := w.answer.Digest(pieces[0].Index - 1)
	for _, p := range pieces {
		digest = digest.Next(p.Text)
		id := position{
			index:   p.Index,
			digest:  digest,
			checked: true,
		}
		w.buffer.WriteString("id: " + id.String() + "\n")
		w.writeData(w.chunks.encodeToken(p.Text))
		if w.buffer.Len() < maxWriteBatch {
			continue
		}
		if err := w.flush(); err != nil {
			return err
		}
	}
	return w.flush()
}

func (w *eventWriter) writeEnd(end *answerer.End) error {
	switch {
	case end.MovedTo != "":
		w.writeEvent(EventMoved, Moved{
			Request: w.answer.Request(),
			Address: end.MovedTo,
		})
	case end.Outcome == messenger.Done:
		w.writeData(w.chunks.encodeStop())
		w.writeData([]byte(DataDone))
	default:
		w.writeEvent(EventError, refusalProblem(w.answer.Request(), refusalOf(end)))
	}
	return w.flush()
}

func (w *eventWriter) writeEvent(name string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		// All values are structs of strings and numbers, which always encode.
		data = []byte(`{}`)
	}
	w.buffer.WriteString("event: " + name + "\n")
	w.writeData(data)
}

func (w *eventWriter) writeData(data []byte) {
	w.buffer.WriteString("data: ")
	w.buffer.Write(data)
	w.buffer.WriteString("\n\n")
}

// flush sends the buffered events within the write timeout. A caller that reads
// too slowly is disconnected, which frees the goroutine. The answer remains on
// the node, and the caller can reattach by request id.
func (w *eventWriter) flush() error {
	if w.buffer.Len() == 0 {
		return nil
	}
	w.server.extendWriteDeadline(w.ctx)
	_, err := w.ctx.ResponseWriter().Write(w.buffer.Bytes())
	w.buffer.Reset()
	if err != nil {
		return err
	}
	return responseController(w.ctx).Flush()
}
