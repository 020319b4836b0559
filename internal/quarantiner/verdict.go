package quarantiner

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Change is a request, or a part of prompts, that is refused from now on, or no longer refused.
type Change struct {
	Request identifier.Fingerprint
	// Part reports that this is a part of prompts.
	Part    bool
	Refused bool
	// Servers are those that ended under the request.
	Servers []identifier.VMID
}

// Changes returns the changes since the last call.
func (q *Quarantine) Changes() []Change {
	out := q.changes
	q.changes = nil
	return out
}

// updateVerdicts decides again which requests are refused, if records changed.
func (q *Quarantine) updateVerdicts(now timekeeper.Time) {
	if !q.verdictsStale {
		return
	}
	q.verdictsStale = false
	refusedParts, explained := q.partVerdicts(now)
	top := q.topSuspectsByServer()
	for _, f := range q.sortedRequests() {
		r := q.records[f]
		refused := refusedParts[r] || !r.part && top.shouldRefuse(now, r, explained)
		if refused != r.refused {
			r.refused = refused
			q.changes = append(q.changes, r.change(refused))
		}
	}
}

// topSuspects holds, for each ended server, the two of its requests under which the
// most servers ended. It avoids a search over all requests for each end, which would
// block a node with a full table for about 0.1 s.
type topSuspects map[identifier.VMID]*[2]*record

func (q *Quarantine) topSuspectsByServer() topSuspects {
	top := topSuspects{}
	for _, r := range q.records {
		if r.part {
			continue // All requests on a server may share it.
		}
		for _, e := range r.ends {
			pair := top[e.server]
			if pair == nil {
				pair = &[2]*record{}
				top[e.server] = pair
			}
			switch {
			case pair[0] == nil || len(r.ends) > len(pair[0].ends):
				pair[0], pair[1] = r, pair[0]
			case pair[1] == nil || len(r.ends) > len(pair[1].ends):
				pair[1] = r
			}
		}
	}
	return top
}

// shouldRefuse reports whether a request is refused. The ends of the servers in explained are
// those of a part that it may share.
func (top topSuspects) shouldRefuse(now timekeeper.Time, r *record, explained map[identifier.VMID]bool) bool {
	if len(r.ends) < refuseThreshold || now.Sub(r.lastEnd()) >= refusalTime {
		return false
	}
	unexplained := 0
	for _, e := range r.ends {
		if !explained[e.server] && !top.explainedByOther(r, e.server) {
			unexplained++
		}
	}
	return unexplained >= refuseThreshold
}

// explainedByOther reports whether a server that ended under r probably ended because
// of another request.
//
// Requests that run on the same server as a query of death end with it, are retried,
// and may run beside a query of death again. Each of them does so less often than the
// query ends servers, so on each server the request with the most ends is the likely
// cause.
//
// At refuseThreshold ends, any other suspect on the server explains its end, and up to
// tieBreakThreshold one with at least as many ends does: of two requests that always
// ran together, neither is refused before the query has ended servers alone. From
// tieBreakThreshold on only one with more ends does, so that two queries of death that
// always run together do not excuse each other forever. The users allow for the three
// more sends.
//
// In simulation, of 35,000 other requests none is refused beside one query of death, and
// five beside three queries that end all of six servers within 0.4 s. Counting to three
// ends alone would refuse 34 of them.
func (top topSuspects) explainedByOther(r *record, server identifier.VMID) bool {
	required := len(r.ends) + 1
	switch {
	case len(r.ends) == refuseThreshold:
		required = suspectThreshold
	case len(r.ends) < tieBreakThreshold:
		required = len(r.ends)
	}
	for _, other := range top[server] {
		if other != nil && other != r && len(other.ends) >= required {
			return true
		}
	}
	return false
}

func (r *record) change(refused bool) Change {
	c := Change{
		Request: r.request,
		Part:    r.part,
		Refused: refused,
	}
	for _, e := range r.ends {
		c.Servers = append(c.Servers, e.server)
	}
	return c
}
