// Package resumer records at which version of a service resumable streams began. What two
// versions write does not fit together, so that a request that resumes a stream is sent to
// servers of that version only.
//
// The node at which a stream begins records its origin and reports it to peers, which may be
// asked for it after that node has ended. A stream has one origin, which never changes:
// reports can be merged in any order and any number of times. An origin that no node knows is
// not guessed. While a service has several versions, one node saves the origins in the platform's
// log, where they outlive the loss of all nodes; see save.go.
//
// All functions are deterministic: time is passed in. Nothing is safe for concurrent use.
package resumer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// Retention is the time for which an origin is recorded. Callers resume a stream before
	// their time limit, which is far shorter.
	Retention = 1 * timekeeper.Minute
	// maxStreams bounds the recorded streams, and maxOrigins their different origins.
	maxStreams = 1 << 17
	maxOrigins = 1 << 12
	// updateWindow is the time for which an origin is reported to peers, so that at least two
	// state updates contain it. relayWindow is the same for a relay, which sends every half
	// second.
	updateWindow = 1100 * timekeeper.Millisecond
	relayWindow  = 600 * timekeeper.Millisecond
	// maxUpdates bounds the origins in one report, which is then about 64 KB.
	maxUpdates = 8192
)

// Table holds the origins that one node knows.
type Table struct {
	streams map[identifier.StreamKey]recordedOrigin
	origins origins
	// order holds the recorded streams, the oldest first.
	order []entry
	// found are the streams that began at this node, and relayed those that peers reported,
	// until they have been reported for long enough.
	found   []entry
	relayed []entry
	// fresh are the streams that began at this node since the last call of Fresh.
	fresh []entry
	saver saver
}

// recordedOrigin is the origin of a recorded stream, as an index of origins.
type recordedOrigin struct {
	index uint16
	// ambiguous is set if two origins were reported: a caller used one id twice.
	ambiguous bool
}

// origins are the different origins of the recorded streams. Each is held once.
type origins struct {
	list []messenger.StreamOrigin
	// uses counts the streams of each origin. An unused one is replaced.
	uses []int
}

// use returns the index of an origin for a further stream, or false if there are too many.
func (o *origins) use(origin messenger.StreamOrigin) (uint16, bool) {
	i := slices.Index(o.list, origin)
	if i < 0 {
		i = slices.Index(o.uses, 0)
	}
	if i < 0 {
		if i = len(o.list); i >= maxOrigins {
			return 0, false
		}
		o.list = append(o.list, messenger.StreamOrigin{})
		o.uses = append(o.uses, 0)
	}
	o.list[i] = origin
	o.uses[i]++
	return uint16(i), true
}

type entry struct {
	stream identifier.StreamKey
	at     timekeeper.Time
}

// New returns a Table without a stream.
func New() *Table { return &Table{streams: map[identifier.StreamKey]recordedOrigin{}} }

// KeyOf returns the key of a stream: of its account and of the caller's request that brought
// the first event. It is zero if that request is not known.
func KeyOf(account identifier.AccountID, request identifier.RequestID) identifier.StreamKey {
	if request == "" {
		return 0
	}
	h := xxhash.New()
	// Writes to a hash never fail.
	_, _ = h.WriteString(string(account))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(request))
	return identifier.StreamKey(max(h.Sum64(), 1))
}

// Began records that a stream began at this node.
func (t *Table) Began(now timekeeper.Time, stream identifier.StreamKey, o messenger.StreamOrigin) {
	if t.record(now, stream, o) {
		began := entry{
			stream: stream,
			at:     now,
		}
		t.found = append(t.found, began)
		t.fresh = append(t.fresh, began)
		t.save(began, o.Service)
	}
}

// Fresh returns the origins of the streams that began at this node since the last call, once
// the first of them is old enough.
func (t *Table) Fresh(now timekeeper.Time, minAge timekeeper.Duration) []messenger.BegunStreams {
	if len(t.fresh) == 0 || now.Sub(t.fresh[0].at) < minAge {
		return nil
	}
	fresh := t.fresh
	t.fresh = nil
	return t.group(fresh)
}

// Merge merges the origins that a peer reported. If passOn is set, those that are new to this
// node are also reported to its own peers.
func (t *Table) Merge(now timekeeper.Time, reports []messenger.BegunStreams, passOn bool) {
	for _, report := range reports {
		for _, stream := range report.Streams {
			if !t.record(now, stream, report.Origin) {
				continue
			}
			received := entry{
				stream: stream,
				at:     now,
			}
			t.save(received, report.Origin.Service)
			if passOn {
				t.relayed = append(t.relayed, received)
			}
		}
	}
}

// record records an origin, and reports whether it is new.
func (t *Table) record(now timekeeper.Time, stream identifier.StreamKey, o messenger.StreamOrigin) bool {
	known, ok := t.streams[stream]
	switch {
	case stream == 0:
		return false
	case ok:
		known.ambiguous = known.ambiguous || t.origins.list[known.index] != o
		t.streams[stream] = known
		return false
	}
	t.expire(now)
	if len(t.order) >= maxStreams {
		t.forgetOldest(1)
	}
	index, ok := t.origins.use(o)
	if !ok {
		return false
	}
	t.streams[stream] = recordedOrigin{index: index}
	t.order = append(t.order, entry{
		stream: stream,
		at:     now,
	})
	return true
}

// Origin returns the origin of a stream, if this node knows it.
func (t *Table) Origin(stream identifier.StreamKey) (messenger.StreamOrigin, bool) {
	known, ok := t.streams[stream]
	if !ok || known.ambiguous {
		return messenger.StreamOrigin{}, false
	}
	return t.origins.list[known.index], true
}

// Len returns the number of recorded origins.
func (t *Table) Len() int { return len(t.streams) }

// expire forgets the streams that callers resume no longer.
func (t *Table) expire(now timekeeper.Time) {
	t.forgetOldest(countBefore(t.order, now.Add(-Retention)))
}

func (t *Table) forgetOldest(count int) {
	for _, e := range t.order[:count] {
		t.origins.uses[t.streams[e.stream].index]--
		delete(t.streams, e.stream)
	}
	t.order = t.order[count:]
}

// countBefore returns the number of entries made before a time. They are in the order of time.
func countBefore(entries []entry, at timekeeper.Time) int {
	n, _ := slices.BinarySearchFunc(entries, at, func(e entry, at timekeeper.Time) int { return cmp.Compare(e.at, at) })
	return n
}

// Updates returns the origins of streams that recently began at this node.
func (t *Table) Updates(now timekeeper.Time) []messenger.BegunStreams {
	t.found = t.found[countBefore(t.found, now.Add(-updateWindow)):]
	return t.group(t.found)
}

// RelayedUpdates returns the origins that a relay reports to other relays: those of Updates
// and those that it has recently received.
func (t *Table) RelayedUpdates(now timekeeper.Time) []messenger.BegunStreams {
	t.relayed = t.relayed[countBefore(t.relayed, now.Add(-relayWindow)):]
	t.found = t.found[countBefore(t.found, now.Add(-updateWindow)):]
	return t.group(slices.Concat(t.relayed, t.found))
}

// Append adds a stream to a report, with others of the same origin.
func Append(report []messenger.BegunStreams, origin messenger.StreamOrigin, stream identifier.StreamKey) []messenger.BegunStreams {
	i := slices.IndexFunc(report, func(s messenger.BegunStreams) bool { return s.Origin == origin })
	if i < 0 {
		i = len(report)
		report = append(report, messenger.BegunStreams{Origin: origin})
	}
	report[i].Streams = append(report[i].Streams, stream)
	return report
}

// group groups streams by their origin.
func (t *Table) group(entries []entry) []messenger.BegunStreams {
	var out []messenger.BegunStreams
	for _, e := range entries[max(len(entries)-maxUpdates, 0):] {
		known, ok := t.streams[e.stream]
		if !ok {
			continue
		}
		out = Append(out, t.origins.list[known.index], e.stream)
	}
	return out
}
