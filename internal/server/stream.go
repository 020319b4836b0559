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
	// writeSize bounds the events that go into one write, so that a caller
	// that reattaches to a long answer costs one small buffer.
	writeSize = 16 << 10
)

// The names of the events that are not tokens.
const (
	EventMoved = "moved"
	EventError = "error"
	// DataDone is the data of the last event of a whole answer.
	DataDone = "[DONE]"
)

// Moved is the data of an EventMoved: the node that has the request now.
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

// stream answers with server-sent events from the token after the given
// position. A caller whose tokens are not this answer's gets none of it.
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
	// The headers go out at once: they tell the caller its request's id.
	if w.heartbeat() != nil {
		return
	}
	if err := w.run(after); err != nil {
		s.logger.Debug("stream ended early", "request", a.Request(), "error", err)
	}
}

func (w *eventWriter) run(from position) error {
	if err := w.check(from); err != nil {
		return err
	}
	after := from.index
	for {
		pieces, end, err := w.read(after)
		if err != nil {
			return err
		}
		if err := w.pieces(pieces); err != nil {
			return err
		}
		if len(pieces) > 0 {
			after = pieces[len(pieces)-1].Index
		}
		if end != nil {
			return w.end(end)
		}
	}
}

// check waits until the answer is as long as what the caller has of it, and
// ends the stream with a problem where the two differ. A node that adopted the
// request from an older copy is shorter for a while, and may go on otherwise
// than the node that the caller comes from.
func (w *eventWriter) check(from position) error {
	if !from.checked {
		return nil
	}
	err := w.beating(func(ctx context.Context) error {
		return w.answer.AwaitCheck(ctx, from.index, from.digest)
	})
	var diverged *answerer.DivergedError
	if errors.As(err, &diverged) {
		w.event(EventError, divergedProblem(w.answer.Request()))
		return errors.Join(err, w.flush())
	}
	return err
}

// read waits for more of the answer.
func (w *eventWriter) read(after identifier.Tokens) ([]answerer.Piece, *answerer.End, error) {
	var (
		pieces []answerer.Piece
		end    *answerer.End
	)
	err := w.beating(func(ctx context.Context) error {
		var err error
		pieces, end, err = w.answer.Read(ctx, after)
		return err
	})
	return pieces, end, err
}

// beating repeats a wait until it is over, and meanwhile shows the caller that
// the connection is alive: between a caller and a node something may lose
// track of an open connection, and without heartbeats the caller could not
// tell that from a slow model.
func (w *eventWriter) beating(wait func(context.Context) error) error {
	caller := w.ctx.Request().Context()
	for {
		beat, cancel := context.WithTimeout(caller, w.server.limits.HeartbeatInterval.Std())
		err := wait(beat)
		cancel()
		if err == nil || caller.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		if err := w.heartbeat(); err != nil {
			return err
		}
	}
}

func (w *eventWriter) heartbeat() error {
	w.buffer.WriteString(": heartbeat\n\n")
	return w.flush()
}

func (w *eventWriter) pieces(pieces []answerer.Piece) error {
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
		w.data(w.chunks.token(p.Text))
		if w.buffer.Len() < writeSize {
			continue
		}
		if err := w.flush(); err != nil {
			return err
		}
	}
	return w.flush()
}

func (w *eventWriter) end(end *answerer.End) error {
	switch {
	case end.MovedTo != "":
		w.event(EventMoved, Moved{
			Request: w.answer.Request(),
			Address: end.MovedTo,
		})
	case end.Outcome == messenger.Done:
		w.data(w.chunks.stop())
		w.data([]byte(DataDone))
	default:
		w.event(EventError, problemOf(w.answer.Request(), refusalOf(end)))
	}
	return w.flush()
}

func (w *eventWriter) event(name string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		// The values are plain structs of strings and numbers.
		data = []byte(`{}`)
	}
	w.buffer.WriteString("event: " + name + "\n")
	w.data(data)
}

func (w *eventWriter) data(data []byte) {
	w.buffer.WriteString("data: ")
	w.buffer.Write(data)
	w.buffer.WriteString("\n\n")
}

// flush sends what is in the buffer, within the bound on one write. A caller
// that reads too slowly is cut off and reattaches by request id: its answer
// stays whole on the node, and the goroutine does not stay with it.
func (w *eventWriter) flush() error {
	if w.buffer.Len() == 0 {
		return nil
	}
	w.server.extendWrites(w.ctx)
	_, err := w.ctx.ResponseWriter().Write(w.buffer.Bytes())
	w.buffer.Reset()
	if err != nil {
		return err
	}
	return controller(w.ctx).Flush()
}
