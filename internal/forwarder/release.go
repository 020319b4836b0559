package forwarder

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// mustRelease reports whether the server of an attempt must have dropped the request before another
// server gets it. That holds for streams.
func (x *exchange) mustRelease(s messenger.SendExchange) bool {
	return s.Route.Stream && x.forwarder.config.StatusPath != ""
}

// mayRunOn reports whether the server of an attempt that has ended like this may still work on the
// request, or begin it: it has neither answered this attempt nor ended.
func (x *exchange) mayRunOn(s messenger.SendExchange, end attemptEnd) bool {
	return x.mustRelease(s) && x.connection.written.Load() && !end.answered && !end.serverEnded
}

// awaitUnreleased waits until the server of the last attempt that may still work on the request has
// dropped it, before the request is sent as s. It returns false if the exchange ended meanwhile.
//
// A run that continues from its memory was stopped by its source.
func (x *exchange) awaitUnreleased(ctx context.Context, s messenger.SendExchange) bool {
	previous := x.unreleased
	x.unreleased = nil
	if previous == nil || s.From.Given() {
		return true
	}
	bound := messenger.SendExchange{Deadline: s.Deadline}
	ctx, timer := x.startTimer(ctx, bound, &connection{})
	defer timer.release()
	return x.awaitRelease(ctx, previous)
}

// unreleasedAttempt is an attempt whose server may still work on the request.
type unreleasedAttempt struct {
	send messenger.SendExchange
	// connection is closed.
	connection *connection
}

// awaitRelease waits until the server of an attempt has dropped the request: it answers a check, has
// ended, or can't be reached. It returns false if the exchange ended meanwhile.
func (x *exchange) awaitRelease(ctx context.Context, a *unreleasedAttempt) bool {
	began := x.forwarder.config.Clock.Now()
	for ctx.Err() == nil {
		activity := x.forwarder.awaitActivity(ctx, a.send, a.connection)
		if ctx.Err() == nil && activity != messenger.ServerUnresponsive {
			x.logRelease(a, activity, began)
			return true
		}
		select {
		case <-time.After(checkInterval):
		case <-ctx.Done():
		}
	}
	x.logRelease(a, messenger.ServerUnresponsive, began)
	return false
}

// endUnreleased returns the end of an exchange that ended before the server of an earlier attempt
// had dropped the request.
func (x *exchange) endUnreleased() attemptEnd {
	if err := x.r.Context().Err(); err != nil {
		return callerDisconnected(err)
	}
	return x.expire()
}

func (x *exchange) logRelease(a *unreleasedAttempt, activity messenger.ServerActivity, closed timekeeper.Time) {
	x.forwarder.config.Logger.Info("request released",
		"request", x.head.Request,
		"attempt", a.send.Attempt,
		"server", a.send.Server,
		"via", a.connection.via(),
		"activity", activity,
		"waited_ms", x.forwarder.config.Clock.Now().Sub(closed),
	)
}
