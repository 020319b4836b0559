package runner

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// maxLocateParallel bounds the concurrent queries of one search,
	// maxLocatePeers the total number of queried peers. locateTimeout is the
	// timeout of the search.
	maxLocateParallel = 4
	maxLocatePeers    = 16
	locateTimeout     = 2 * time.Second
)

// peerAddresses returns the peer addresses of the nodes that may have a
// request, most likely first.
func (r *Runner) peerAddresses(ctx context.Context, request identifier.RequestID) []string {
	var addresses []string
	r.runInLoop(ctx, func() {
		for _, n := range placer.Candidates(request, r.config.Reducer.Nodes()) {
			if n.VM != r.config.Self && len(addresses) < maxLocatePeers {
				addresses = append(addresses, n.PeerAddress)
			}
		}
	})
	return addresses
}

// locateResult is one peer's answer.
type locateResult struct {
	location relayer.Location
	found    bool
}

// betterThan reports whether s is preferable to other: an owner is preferable
// to a holder of a copy, and either to no answer.
func (s locateResult) betterThan(other locateResult) bool {
	return s.found && (!other.found || other.location.Copy && !s.location.Copy)
}

// namesOwner reports whether s names the owner, which ends the search.
func (s locateResult) namesOwner() bool { return s.found && !s.location.Copy }

// locate queries peers for a request, at most maxLocateParallel at a time. It
// returns the first owner found, or else the first holder of a copy.
func (r *Runner) locate(ctx context.Context, q relayer.Query, addresses []string) (relayer.Location, bool) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var best locateResult
	results := make(chan locateResult)
	inFlight := 0
	for inFlight > 0 || len(addresses) > 0 {
		if inFlight < maxLocateParallel && len(addresses) > 0 {
			address := addresses[0]
			addresses = addresses[1:]
			inFlight++
			go func() { results <- r.locateAt(ctx, address, q) }()
			continue
		}
		s := <-results
		inFlight--
		if s.betterThan(best) {
			best = s
		}
		if best.namesOwner() {
			addresses = nil
			cancel()
		}
	}
	return best.location, best.found
}

// locateAt queries one peer.
func (r *Runner) locateAt(ctx context.Context, address string, q relayer.Query) locateResult {
	at, found, err := r.config.Peers.Locate(ctx, address, q)
	return locateResult{
		location: at,
		found:    found && err == nil,
	}
}
