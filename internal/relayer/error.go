package relayer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"

	"github.com/twitchtv/twirp"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

var (
	_ error = (*PeerError)(nil)
	_ error = (*TooLargeError)(nil)
	_ error = (*NoConfigurationError)(nil)
)

// Reach tells how far a call that failed can have come.
type Reach string

// How far a call can have come.
const (
	// NotReached: no byte of the call has left.
	NotReached Reach = "not_reached"
	// Refused: nothing listens at the address, so that the process that
	// listened there is no more, with all that it had in memory.
	Refused Reach = "refused"
	// Rejected: the peer says that the call took no effect.
	Rejected Reach = "rejected"
	// Ambiguous: the call may have taken effect, or may still.
	Ambiguous Reach = "ambiguous"
)

// PeerError reports a call to a peer that failed.
type PeerError struct {
	Address string
	Method  string
	Reach   Reach
	Cause   error
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("%s at peer %s, %s: %v", e.Method, e.Address, e.Reach, e.Cause)
}

func (e *PeerError) Unwrap() error { return e.Cause }

// NoEffect reports whether the call surely took no effect and won't.
func (e *PeerError) NoEffect() bool { return e.Reach != Ambiguous }

// TooLargeError reports a message beyond the bound.
type TooLargeError struct {
	Size  identifier.Bytes
	Limit identifier.Bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes, more than %d", e.Size, e.Limit)
}

// NoConfigurationError reports that a peer has no configuration either.
type NoConfigurationError struct{}

func (e *NoConfigurationError) Error() string { return "the peer has no configuration" }

// reachOf tells how far a call came whose progress p was watched.
func reachOf(err error, p *progress) Reach {
	var twirpError twirp.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) && !p.connected.Load():
		return Refused
	case !p.connected.Load():
		return NotReached
	case p.status.Load() != http.StatusOK && errors.As(err, &twirpError) && rejects(twirpError.Code()):
		return Rejected
	}
	return Ambiguous
}

// rejects reports whether the code says that the handler did not act.
func rejects(c twirp.ErrorCode) bool {
	switch c {
	case twirp.FailedPrecondition, twirp.Malformed, twirp.InvalidArgument, twirp.BadRoute:
		return true
	}
	return false
}

// timedOut reports whether silence ended the call.
func timedOut(err error) bool {
	var netError net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netError) && netError.Timeout()
}
