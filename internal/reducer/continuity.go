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
}

// relayRounds are the rounds received from a relay.
type relayRounds struct {
	incarnation identifier.Incarnation
	last        uint64
	// since is the time from which all rounds have been received.
	since timekeeper.Time
}

// receive records an update of a peer. It reports whether a node that knew all entries up
// to the time asOf knows with the update all entries that the peer knows.
func (c *continuity) receive(now, asOf timekeeper.Time, from identifier.VMID, s messenger.StateUpdate) bool {
	complete := true
	switch {
	case s.Round != 0:
		complete = c.receiveRound(now, asOf, from, s)
	case s.AllServers:
	case s.ServersSpan > 0:
		complete = !asOf.Before(now.Add(-s.ServersSpan))
	}
	if complete && s.ServersRead.Node != "" {
		c.acceptedAt = now
	}
	return complete
}

func (c *continuity) receiveRound(now, asOf timekeeper.Time, from identifier.VMID, s messenger.StateUpdate) bool {
	if c.relays == nil {
		c.relays = map[identifier.VMID]relayRounds{}
	}
	r, known := c.relays[from]
	if known && r.incarnation == s.Incarnation && s.Round <= r.last {
		return s.AllServers || !asOf.Before(r.since) // An earlier round that was overtaken.
	}
	if !known && len(c.relays) >= maxObservers {
		clear(c.relays)
	}
	if !known || r.incarnation != s.Incarnation || s.Round > r.last+updateRepeats {
		r.since = now
	}
	if s.AllServers {
		r.since = 0
	}
	r.incarnation = s.Incarnation
	r.last = s.Round
	c.relays[from] = r
	return !asOf.Before(r.since)
}

// storeRead records that this node has read all entries from the store.
func (c *continuity) storeRead(now timekeeper.Time) { c.acceptedAt = now }
