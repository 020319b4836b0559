package quarantiner

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Change is a request that is refused from now on, or no longer.
type Change struct {
	Request identifier.Fingerprint
	Refused bool
	// Servers are those that ended under it.
	Servers []identifier.VMID
}

// Changes returns what changed since the last call.
func (q *Quarantine) Changes() []Change {
	out := q.changes
	q.changes = nil
	return out
}

// judge brings the verdicts to the present.
func (q *Quarantine) judge(now timekeeper.Time) {
	if !q.unjudged {
		return
	}
	q.unjudged = false
	for _, f := range q.requests() {
		r := q.records[f]
		refused := q.guilty(now, r)
		if refused != r.refused {
			r.refused = refused
			q.changes = append(q.changes, r.change(refused))
		}
	}
}

func (q *Quarantine) guilty(now timekeeper.Time, r *record) bool {
	if len(r.ends) < maxEnds || now.Sub(r.last()) >= holdTime {
		return false
	}
	own := 0
	for _, e := range r.ends {
		if !q.explained(r, e.server) {
			own++
		}
	}
	return own >= maxEnds
}

// explained reports whether a server that ended under r probably ended for another
// request.
//
// What runs beside a query of death ends with its server too, is sent again, and may
// meet it at the next server. It meets it less often than the query ends servers, so
// that of the requests on a server that ended the one with most ends elsewhere is to
// blame. Two that always met would both be refused.
func (q *Quarantine) explained(r *record, server identifier.VMID) bool {
	for _, other := range q.records {
		if len(other.ends) > len(r.ends) && other.on(server) {
			return true
		}
	}
	return false
}

// on reports whether a server ended under r.
func (r *record) on(server identifier.VMID) bool {
	return slices.ContainsFunc(r.ends, func(e end) bool { return e.server == server })
}

func (r *record) change(refused bool) Change {
	c := Change{
		Request: r.request,
		Refused: refused,
	}
	for _, e := range r.ends {
		c.Servers = append(c.Servers, e.server)
	}
	return c
}
