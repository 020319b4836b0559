package reducer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// continuity tracks whether this node has received all changes of server entries that a
// peer reported. An update holds only the latest changes, so one that comes after a gap
// does not bring a node up to date, however new its data is.
type continuity struct {
	relays map[identifier.VMID]relayRounds
	// acceptedAt is the time of the last update that continues the earlier ones and
	// states up to when its sender knows all entries, or of the last read of the store.
	acceptedAt timekeeper.Time
	// relayAt is the time of the last update of a relay, or zero.
	relayAt timekeeper.Time
}

// relayRounds are the rounds received from a relay.
type relayRounds struct {
	incarnation identifier.Incarnation
	last        uint64
	// since is the time from which all rounds have been received. covered reports that the
	// relay's complete table, received before them, left no change out.
	since   timekeeper.Time
	covered bool
}

// receive records an update of a peer. It reports whether a node that knew all entries up
// to the time asOf knows with the update all entries that the peer knows. contained reports
// that the update holds all servers that the node knows.
func (c *continuity) receive(now, asOf timekeeper.Time, from identifier.VMID, s messenger.StateUpdate, contained bool) bool {
	covered := coversSince(now, asOf, s) || s.AllServers && contained
	if s.Round != 0 {
		c.relayAt = now
		covered = c.receiveRound(now, asOf, from, s, covered)
	}
	if covered && s.ServersRead.Node != "" {
		c.acceptedAt = now
	}
	return covered
}

// coversSince reports whether the sender of an update has known all entries since the time
// asOf. If it started later, it does not know which changes it missed.
func coversSince(now, asOf timekeeper.Time, s messenger.StateUpdate) bool {
	return !asOf.Before(now.Add(-s.ServersSpan))
}

func (c *continuity) receiveRound(now, asOf timekeeper.Time, from identifier.VMID, s messenger.StateUpdate, covered bool) bool {
	if c.relays == nil {
		c.relays = map[identifier.VMID]relayRounds{}
	}
	r, known := c.relays[from]
	if known && r.incarnation == s.Incarnation && s.Round <= r.last {
		// An earlier round that was overtaken.
		return covered && (s.AllServers || !asOf.Before(r.since))
	}
	if !known && len(c.relays) >= maxObservers {
		clear(c.relays)
	}
	if !known || r.incarnation != s.Incarnation || s.Round > r.last+updateRepeats {
		r.since = now
		r.covered = false
	}
	if s.AllServers {
		r.since = 0
		r.covered = covered
	}
	r.incarnation = s.Incarnation
	r.last = s.Round
	c.relays[from] = r
	return (covered || r.covered) && !asOf.Before(r.since)
}

// storeRead records that this node has read all entries from the store.
func (c *continuity) storeRead(now timekeeper.Time) { c.acceptedAt = now }
