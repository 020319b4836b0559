package relayer

import (
	"net/http"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// largeUpdate is the size from which a state update counts as large. Updates without
	// the entries of many servers are smaller.
	largeUpdate identifier.Bytes = 32 << 10
	// maxLargeUpdates is the number of large updates that are read and decoded at once.
	// Each takes six times its size meanwhile. Updates of several peers mostly hold the
	// same entries.
	maxLargeUpdates = 4
	// largeUpdateTimeout bounds the time that a large update waits, and the time that it
	// may take to arrive. Its sender does not wait longer.
	largeUpdateTimeout = 1 * time.Second
	updatePath         = pb.PeersPathPrefix + "Share"
)

// largeUpdates limits the number of large state updates that are read at once. Others wait
// unread in the buffers of their connections.
type largeUpdates struct {
	next  http.Handler
	slots chan struct{}
}

var _ http.Handler = (*largeUpdates)(nil)

func newLargeUpdates(next http.Handler) *largeUpdates {
	return &largeUpdates{
		next:  next,
		slots: make(chan struct{}, maxLargeUpdates),
	}
}

// ServeHTTP implements http.Handler.
func (l *largeUpdates) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !isLargeUpdate(r) {
		l.next.ServeHTTP(w, r)
		return
	}
	timeout := time.NewTimer(largeUpdateTimeout)
	defer timeout.Stop()
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	case <-r.Context().Done():
		return
	case <-timeout.C:
		// The error is that of a connection that no longer accepts an answer.
		_ = twirp.WriteError(w, twirp.NewError(twirp.Unavailable, "too many large state updates"))
		return
	}
	// A sender that stalls must not occupy its slot. Writers without a deadline have no
	// connection that could stall.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(largeUpdateTimeout))
	l.next.ServeHTTP(w, r)
}

// isLargeUpdate reports whether a request is a state update that is large or of unknown
// size.
func isLargeUpdate(r *http.Request) bool {
	return strings.HasSuffix(r.URL.Path, updatePath) &&
		(r.ContentLength < 0 || identifier.Bytes(r.ContentLength) >= largeUpdate)
}
