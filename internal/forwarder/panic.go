package forwarder

import (
	"errors"
	"net/http"
	"runtime/debug"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// reasonPanic is the reason of exchanges that ended with a panic.
const reasonPanic = "panic"

// answerPanic answers a request whose goroutine has panicked. net/http would close the caller's
// connection without an answer.
func (x *exchange) answerPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	f := x.forwarder
	f.config.Metrics.panicked()
	f.config.Logger.Error("exchange panicked", "request", x.head.Request, "cause", cause, "stack", string(debug.Stack()))
	f.config.Decider.Ended(messenger.ExchangeEnded{Exchange: x.id})
	switch {
	case x.status != 0:
		x.log(messenger.AttemptBroken, reasonPanic)
		panic(http.ErrAbortHandler)
	case x.attempts == 0:
		x.unavailable(reasonPanic, refusalRetryAfter)
	default:
		x.writeStatus(http.StatusBadGateway)
		x.log(messenger.AttemptFailed, reasonPanic)
	}
}
