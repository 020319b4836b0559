package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// listenerDelay is the time after the end of an answer at which its server must still listen.
// When a process is killed, the kernel may close its listener a few milliseconds after its
// connections.
const listenerDelay = 20 * time.Millisecond

var _ error = (*ServerEndedError)(nil)

// ServerEndedError reports an answer with neither a length nor chunks whose server may have
// ended with it, so that the rest may be missing.
type ServerEndedError struct{ Server identifier.VMID }

func (e *ServerEndedError) Error() string {
	return fmt.Sprintf("server %s may have ended with its answer", e.Server)
}

// mayBeCut reports whether an answer that was read to its end may lack its rest because the
// server ended. An answer with neither a length nor chunks ends with its connection, also if
// that is closed by the end of the server, announced or not.
func (x *exchange) mayBeCut(s messenger.SendExchange, response *http.Response) bool {
	if isFramed(response) || x.r.Method == http.MethodHead {
		return false
	}
	select {
	case <-time.After(listenerDelay):
	case <-x.r.Context().Done():
	}
	return !x.serverListens(s)
}

// serverListens reports whether this node or one of the peers can still connect to a server.
func (x *exchange) serverListens(s messenger.SendExchange) bool {
	ctx := x.r.Context()
	if x.connection.via() == "" && x.forwarder.transports.connects(ctx, s.Address) {
		return true
	}
	for _, peer := range s.Path.Peers {
		if tunnel, err := x.forwarder.transports.opener.Open(ctx, peer, s.Address); err == nil {
			_ = tunnel.Close()
			return true
		}
	}
	return false
}

// connects reports whether an address accepts a direct connection.
func (t *transports) connects(ctx context.Context, address string) bool {
	ctx, done := context.WithTimeout(ctx, directTimeout)
	defer done()
	c, err := t.dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// isFramed reports whether an answer has a length or chunks, so that its end is not that of its
// connection.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
