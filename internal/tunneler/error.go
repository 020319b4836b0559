package tunneler

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

var (
	_ error = (*OpenError)(nil)
	_ error = (*RefusedError)(nil)
)

// OpenError reports that a tunnel could not be opened. Nothing was sent to the server.
type OpenError struct {
	Peer   identifier.VMID
	Result messenger.ConnectResult
	Cause  error
}

func openError(peer messenger.PathPeer, result messenger.ConnectResult, cause error) *OpenError {
	return &OpenError{
		Peer:   peer.Node,
		Result: result,
		Cause:  cause,
	}
}

func (e *OpenError) Error() string {
	return fmt.Sprintf("tunnel through %s: server %s: %v", e.Peer, e.Result, e.Cause)
}

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Cause }

// RefusedError reports that a peer opened no connection to the server.
type RefusedError struct {
	// Reason is empty if the peer tried to connect and failed.
	Reason messenger.TunnelRefusal
}

func (e *RefusedError) Error() string {
	if e.Reason == "" {
		return "peer can't connect"
	}
	return fmt.Sprintf("peer refuses: %s", e.Reason)
}
