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

// Reach states how far a failed call may have proceeded.
type Reach string

// The possible values of Reach.
const (
	// NotReached: no byte of the call was sent.
	NotReached Reach = "not_reached"
	// Refused: the address refuses connections, so the process that listened
	// there no longer exists, and its memory is lost.
	Refused Reach = "refused"
	// Rejected: the peer reported that the call had no effect.
	Rejected Reach = "rejected"
	// Ambiguous: the call may have had an effect, or may still have one.
	Ambiguous Reach = "ambiguous"
)

// PeerError reports a failed call to a peer.
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

// NoEffect reports whether the call certainly had no effect and will have
// none.
func (e *PeerError) NoEffect() bool { return e.Reach != Ambiguous }

// TooLargeError reports a message that exceeds the size limit.
type TooLargeError struct {
	Size  identifier.Bytes
	Limit identifier.Bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

// NoConfigurationError reports that the peer has no configuration.
type NoConfigurationError struct{}

func (e *NoConfigurationError) Error() string { return "the peer has no configuration" }

// reachOf returns how far the failed call with progress p may have proceeded.
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

// rejects reports whether the code implies that the handler did not act.
func rejects(c twirp.ErrorCode) bool {
	switch c {
	case twirp.FailedPrecondition, twirp.Malformed, twirp.InvalidArgument, twirp.BadRoute:
		return true
	}
	return false
}

// timedOut reports whether the call ended by a timeout.
func timedOut(err error) bool {
	var netError net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netError) && netError.Timeout()
}
