package runner

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// locateParallel bounds the peers asked at a time where a request is,
	// locateMost those asked at all, and locateTimeout the whole search.
	locateParallel = 4
	locateMost     = 16
	locateTimeout  = 2 * time.Second
)

// peerAddresses returns the peer addresses of the nodes that may have a
// request, likeliest first.
func (r *Runner) peerAddresses(ctx context.Context, request identifier.RequestID) []string {
	var addresses []string
	r.ask(ctx, func() {
		for _, n := range placer.Candidates(request, r.config.Reducer.Nodes()) {
			if n.VM != r.config.Self && len(addresses) < locateMost {
				addresses = append(addresses, n.PeerAddress)
			}
		}
	})
	return addresses
}

// sighting is what one peer says of a request's place.
type sighting struct {
	at    relayer.Location
	found bool
}

// better reports whether s tells more than other: an owner is better than a
// holder of a copy, and a holder better than nothing.
func (s sighting) better(other sighting) bool {
	return s.found && (!other.found || other.at.Copy && !s.at.Copy)
}

// owner reports whether s names the owner, so that nobody else need be asked.
func (s sighting) owner() bool { return s.found && !s.at.Copy }

// locate asks peers where a request is, at most locateParallel at a time, and
// returns the first owner named; else the first holder of a copy.
func (r *Runner) locate(ctx context.Context, q relayer.Query, addresses []string) (relayer.Location, bool) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var best sighting
	ends := make(chan sighting)
	asking := 0
	for asking > 0 || len(addresses) > 0 {
		if asking < locateParallel && len(addresses) > 0 {
			address := addresses[0]
			addresses = addresses[1:]
			asking++
			go func() { ends <- r.askPeer(ctx, address, q) }()
			continue
		}
		s := <-ends
		asking--
		if s.better(best) {
			best = s
		}
		if best.owner() {
			addresses = nil
			cancel()
		}
	}
	return best.at, best.found
}

// askPeer asks one peer where a request is.
func (r *Runner) askPeer(ctx context.Context, address string, q relayer.Query) sighting {
	at, found, err := r.config.Peers.Locate(ctx, address, q)
	return sighting{
		at:    at,
		found: found && err == nil,
	}
}
