package throttler

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// brittleRetention is the time after its last statement for which a service counts as
	// brittle. Every answer of its servers repeats the statement.
	brittleRetention = 5 * timekeeper.Second
	// roomRetention is the time after the pause for which a rejection bounds the requests at
	// a server.
	roomRetention = 4 * timekeeper.Second
	// minRejectionPause and maxRejectionPause bound the time for which a node sends nothing to
	// a brittle server that rejected its request.
	minRejectionPause = 1 * timekeeper.Second
	maxRejectionPause = 10 * timekeeper.Second
)

// Brittle holds the services whose servers state to be brittle. Such a server ends if it has to
// reject more than a few requests of all nodes in a second, so that nodes send it no request
// that would have to wait, and less than that after it has rejected one.
type Brittle struct {
	// nodes is the number of nodes that share the rejections.
	nodes    int
	services map[identifier.ServiceName]statedBrittle
	rooms    map[identifier.VMID]learnedRoom
}

// statedBrittle is the last statement of any server of a service.
type statedBrittle struct {
	sent       timekeeper.Time
	at         timekeeper.Time
	rejections int
}

// learnedRoom is the number of requests at which a server rejected another one.
type learnedRoom struct {
	requests    int
	until       timekeeper.Time
	pausedUntil timekeeper.Time
}

// NewBrittle returns Brittle without a service.
func NewBrittle() *Brittle {
	return &Brittle{
		services: map[identifier.ServiceName]statedBrittle{},
		rooms:    map[identifier.VMID]learnedRoom{},
	}
}

// Observe records what an answer of a service's server states, and reports whether the service
// began or ceased to be brittle.
func (b *Brittle) Observe(now timekeeper.Time, service identifier.ServiceName, e messenger.ServerBrittleReceived) bool {
	known, brittle := b.services[service]
	switch {
	case e.Brittle.Stated:
		b.services[service] = statedBrittle{
			sent:       max(known.sent, e.Sent),
			at:         now,
			rejections: e.Brittle.Rejections,
		}
		return !brittle
	case brittle && e.Sent.After(known.sent):
		delete(b.services, service)
		return true
	}
	return false
}

// SetNodes sets the number of nodes that send to the servers.
func (b *Brittle) SetNodes(n int) { b.nodes = n }

// pause returns the time after a rejection by which all nodes together are rejected no more
// often than a service's servers state to bear.
func (b *Brittle) pause(service identifier.ServiceName) timekeeper.Duration {
	share := timekeeper.Duration(b.nodes) * timekeeper.Second / timekeeper.Duration(max(b.services[service].rejections, 1))
	return min(max(share, minRejectionPause), maxRejectionPause)
}

// Service reports whether a service's servers are brittle.
func (b *Brittle) Service(service identifier.ServiceName) bool {
	_, brittle := b.services[service]
	return brittle
}

// Rejected records that a brittle server rejected a request of this node while it had the given
// number of requests, as far as this node knows.
func (b *Brittle) Rejected(now timekeeper.Time, service identifier.ServiceName, server identifier.VMID, requests int) {
	b.learn(now, server, requests, b.pause(service))
}

// RejectedPeer records that a brittle server rejected the request of a peer to which this node had
// granted a slot. It grants no other one for a moment, so that the peers need not be rejected too.
func (b *Brittle) RejectedPeer(now timekeeper.Time, server identifier.VMID, requests int) {
	b.learn(now, server, requests, minRejectionPause)
}

func (b *Brittle) learn(now timekeeper.Time, server identifier.VMID, requests int, pause timekeeper.Duration) {
	known, ok := b.rooms[server]
	if !ok && len(b.rooms) >= maxServers {
		return
	}
	pausedUntil := max(now.Add(pause), known.pausedUntil)
	b.rooms[server] = learnedRoom{
		requests:    max(requests-1, 0),
		until:       pausedUntil.Add(roomRetention),
		pausedUntil: pausedUntil,
	}
}

// Paused reports whether this node sends nothing to a brittle server, because the server has
// rejected its request.
func (b *Brittle) Paused(now timekeeper.Time, server identifier.VMID) bool {
	return now.Before(b.rooms[server].pausedUntil)
}

// HasRoom reports whether a brittle server with the given numbers of slots and requests may be
// sent another one.
func (b *Brittle) HasRoom(now timekeeper.Time, server identifier.VMID, slots, requests int) bool {
	room := slots
	if slots <= 0 {
		room = math.MaxInt
	}
	if learned, known := b.rooms[server]; known && now.Before(learned.until) {
		if now.Before(learned.pausedUntil) {
			return false
		}
		room = min(room, max(learned.requests, 1))
	}
	return requests < room
}

// Forget drops a server that has ended.
func (b *Brittle) Forget(server identifier.VMID) { delete(b.rooms, server) }

// Tick drops what is outdated, and returns the services that ceased to be brittle.
func (b *Brittle) Tick(now timekeeper.Time) []identifier.ServiceName {
	var ceased []identifier.ServiceName
	for service, stated := range b.services {
		if now.Sub(stated.at) > brittleRetention {
			delete(b.services, service)
			ceased = append(ceased, service)
		}
	}
	for server, learned := range b.rooms {
		if !now.Before(learned.until) {
			delete(b.rooms, server)
		}
	}
	return ceased
}
