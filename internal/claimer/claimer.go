// Package claimer decides which node may send a non-idempotent request that
// has an idempotency key. Every node appends a claim to the platform's log and
// reads it back; the first claim of a key in log order wins, and only its
// claimant ever sends.
//
// All nodes fold the same records by the same rule, which reads nothing but
// the records and the log's own append times:
//
//   - The first claim of a key holds it for its window, counted from the last
//     claim of the key, by whomever. So whether a key is held follows from the
//     records of the last window alone, and a node that started too late to
//     see the first claim takes the key for held as long as all others do.
//   - The same claim appended again, by nonce, counts once.
//   - A claim of a held key loses for good.
//   - An outcome counts if it bears the holder's nonce, and only the first.
//   - A release counts if it bears the holder's nonce and claimant and no
//     outcome stands. From then on the key is free for claims whose claimants
//     had read the release when the request came; all others have lost. Who
//     released the key may have said not_run, and a request that another node
//     took before that, or a copy of the claim that lands late, would make it
//     false. Only a claimant that never sent, or whose backend server said
//     that it did not run, may release; a release that stands before its claim
//     counts for nothing, so a node releases only what it has seen hold the
//     key.
//
// Each claim is decided by its own claimant alone. Where an earlier claim of
// the key may have expired unread, the claimant takes its own for unsettled:
// it neither sends nor releases.
//
// The table is bounded: at MaxEntries it refuses claims and never forgets a
// live one. A Table is not safe for concurrent use.
package claimer

import (
	"container/heap"

	"github.com/dotterelhollow/dotterelhollow/internal/follower"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config sets up a Table.
type Config struct {
	Self identifier.VMID
	// Partitions is the number of claims streams. It is the same on all nodes.
	Partitions int
	// MaxEntries bounds the keys and claims that the table remembers. Claims
	// of other nodes may take it an eighth beyond.
	MaxEntries int
	// MaxBodyBytes bounds the recorded answers; the oldest are dropped first.
	MaxBodyBytes identifier.Bytes
	// Retention is the least time for which the log keeps a record.
	Retention timekeeper.Duration
	// DecideWithin is how long a claim may wait before Waiting lists it.
	DecisionTimeout timekeeper.Duration
	// AppendEvery is the spacing of repeated appends of releases.
	AppendInterval timekeeper.Duration
}

// maxWindow is the longest window of a key. The rest of the retention is room
// for reading a claim back and for clocks that run at different rates.
func (c Config) maxWindow() timekeeper.Duration { return c.Retention / 4 * 3 }

// Default sizes and times.
const (
	DefaultPartitions      = 4
	DefaultMaxEntries      = 50_000
	DefaultMaxBodyBytes    = identifier.Bytes(64 << 20)
	DefaultDecisionTimeout = 2 * timekeeper.Second
	DefaultAppendInterval  = 2 * timekeeper.Second
)

func (c Config) withDefaults() Config {
	if c.Partitions == 0 {
		c.Partitions = DefaultPartitions
	}
	if c.MaxEntries == 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if c.DecisionTimeout == 0 {
		c.DecisionTimeout = DefaultDecisionTimeout
	}
	if c.AppendInterval == 0 {
		c.AppendInterval = DefaultAppendInterval
	}
	return c
}

// Entry is what the log says of a key.
type Entry struct {
	Account  identifier.AccountID
	Key      identifier.IdempotencyKey
	Request  identifier.RequestID
	Winner   identifier.VMID
	Nonce    identifier.Nonce
	Offset   identifier.Offset
	Appended timekeeper.Time
	// Until is the log's time at which the key is forgotten, unless it is
	// claimed again.
	ExpiresAt timekeeper.Time
	// Released tells that the winner gave the key up without sending, and
	// ReleasedAt where the log says so.
	Released   bool
	ReleasedAt identifier.Offset
	// Recorded is the winner's outcome, or nil.
	Recorded *messenger.RecordedOutcome
}

// Decision is what became of a claim of this node.
type Decision struct {
	Request identifier.RequestID
	// Won allows this node to send the request, once.
	Won bool
	// Unsettled tells that an earlier claim may have expired unread: the
	// request must not be sent, and may have run elsewhere.
	Unsettled bool
	// Winner and WinnerRequest name the claim that holds the key, unless
	// Unsettled is set.
	Winner        identifier.VMID
	WinnerRequest identifier.RequestID
	// Recorded is the winner's outcome, or nil.
	Recorded *messenger.RecordedOutcome
}

// Append is a record to append to the log.
type Append struct {
	Stream identifier.LogStream
	Data   []byte
}

// Counts tells what the table refused, ignored or dropped since it was made.
type Counts struct {
	// Refused counts claims of this node refused by a full table.
	Refused int
	// Overflowed counts claims of other nodes that found no room.
	Overflowed int
	// Ignored counts records that could not be read, are of an unknown
	// version or kind, or stand in the wrong stream.
	Ignored int
	// Gaps counts reads before which records may have expired unread.
	Gaps int
	// Unsettled counts claims of this node left unsettled.
	Unsettled int
	// BodiesDropped counts recorded answers dropped for room.
	BodiesDropped int
}

// outAfter is how long reads have to fail before the log is taken to be out;
// one that fails is no outage.
const readOutageAfter = 300 * timekeeper.Millisecond

const (
	// unplacedAfter is how far apart appends have to fail for the same, with
	// none that succeeds in between.
	appendOutageAfter = 400 * timekeeper.Millisecond
	// probeAfter is how long after the last append that failed the next one
	// is tried.
	probeInterval = 2 * timekeeper.Second
)

// safeguards are switched off one by one by negative controls.
type safeguards struct {
	ignoreSeen   bool // any claim after a release holds the key
	trustView    bool
	ignoreDrop   bool
	fixedWindow  bool
	releaseBlind bool
	localTime    bool
}

type key struct {
	account identifier.AccountID
	key     identifier.IdempotencyKey
}

// Table is a node's view of the claims in the log.
type Table struct {
	config  Config
	streams map[identifier.LogStream]*stream
	entries map[key]*entry
	// own lists this node's claims in the order of their Begin.
	ownClaims []*claim
	nonces    map[identifier.Nonce]*claim
	active    map[identifier.RequestID]*claim
	bodies    *bodies
	counts    Counts
	disabled  safeguards
}

type pendingDecision struct {
	Decision
	claim *claim
}

// stream is one partition of the log's claims.
type stream struct {
	name     identifier.LogStream
	position *follower.Stream
	// now is the latest append time seen.
	latestAppend timekeeper.Time
	// blindUntil is the append time up to which a claim found no room.
	unrecordedUntil timekeeper.Time
	expiry          expiryHeap
	clockAppendedAt timekeeper.Time
	// failingSince is when reads began to fail, or Never.
	readsFailingSince timekeeper.Time
	// unplacedSince is when appends began to fail, or Never, and unplacedAt
	// when one failed last.
	appendsFailingSince timekeeper.Time
	lastAppendFailure   timekeeper.Time
	// held are decisions to deliver once the stream was replayed.
	pending []pendingDecision
}

// New returns an empty table.
func New(c Config) *Table {
	c = c.withDefaults()
	t := &Table{
		config:  c,
		streams: make(map[identifier.LogStream]*stream),
		entries: make(map[key]*entry),
		nonces:  make(map[identifier.Nonce]*claim),
		active:  make(map[identifier.RequestID]*claim),
		bodies:  newBodies(c.MaxBodyBytes),
	}
	for n := range c.Partitions {
		name := partition(n)
		t.streams[name] = &stream{
			name:                name,
			position:            follower.New(follower.Config{Retention: c.Retention}),
			readsFailingSince:   timekeeper.Never,
			appendsFailingSince: timekeeper.Never,
		}
	}
	return t
}

// SetRetention takes up the retention that the configuration says. A table
// that takes it for longer than it is would trust a view of which claims had
// expired unread, and run a key again.
func (t *Table) SetRetention(d timekeeper.Duration) {
	t.config.Retention = d
	for _, s := range t.streams {
		s.position.SetRetention(d)
	}
}

// Streams returns the streams that the table follows.
func (t *Table) Streams() []identifier.LogStream {
	names := make([]identifier.LogStream, 0, t.config.Partitions)
	for n := range t.config.Partitions {
		names = append(names, partition(n))
	}
	return names
}

// Ready reports whether a stream was replayed from its oldest kept record to
// its end, with no gap since. Before that no claim on it is won.
func (t *Table) Ready(s identifier.LogStream) bool {
	p, ok := t.streams[s]
	return ok && p.position.Replayed()
}

// Full reports whether the table refuses further claims.
func (t *Table) Full() bool {
	return len(t.entries)+len(t.ownClaims) >= t.config.MaxEntries
}

// Len returns the number of keys that the table remembers.
func (t *Table) Len() int { return len(t.entries) }

// Counts tells what the table refused, ignored or dropped.
func (t *Table) Counts() Counts { return t.counts }

// Lookup returns what the log says of a key within its window.
func (t *Table) Lookup(account identifier.AccountID, k identifier.IdempotencyKey) (Entry, bool) {
	e, ok := t.entries[key{
		account: account,
		key:     k,
	}]
	if !ok || !e.holdsAt(t.streams[e.stream].latestAppend) {
		return Entry{}, false
	}
	return e.Entry, true
}

// Unavailable notes that a stream could not be read. Absorb takes it back.
func (t *Table) ReadFailed(now timekeeper.Time, name identifier.LogStream) {
	if s, ok := t.streams[name]; ok {
		s.readsFailingSince = min(s.readsFailingSince, now)
	}
}

// Out reports whether a stream has not been readable for a while. A claim
// begun now would wait in vain, and its caller with it.
func (t *Table) LogUnavailable(now timekeeper.Time, name identifier.LogStream) bool {
	s, ok := t.streams[name]
	return ok && (s.readsFailing(now) || s.appendsFailing(now))
}

func (s *stream) readsFailing(now timekeeper.Time) bool {
	return s.readsFailingSince != timekeeper.Never && now.Sub(s.readsFailingSince) >= readOutageAfter
}

// unplaceable reports whether appends went on failing for a while, and did so
// lately. A few that fail at one moment are no outage, however long none is
// tried after them. When none was tried for probeAfter, the next claim tries.
func (s *stream) appendsFailing(now timekeeper.Time) bool {
	return s.appendsFailingSince != timekeeper.Never &&
		s.lastAppendFailure.Sub(s.appendsFailingSince) >= appendOutageAfter && now.Sub(s.lastAppendFailure) < probeInterval
}

// AppendEnded notes how an append to a stream ended. In an outage appends fail
// at once, while a read that waits for new records learns of it seconds later;
// callers would be held for so long. Whether an append that failed took effect
// is for reading back alone: this decides only whether to begin new claims.
func (t *Table) AppendEnded(now timekeeper.Time, name identifier.LogStream, succeeded bool) {
	s, ok := t.streams[name]
	switch {
	case !ok:
	case succeeded:
		s.appendsFailingSince = timekeeper.Never
	case now.Sub(s.lastAppendFailure) >= probeInterval:
		s.appendsFailingSince, s.lastAppendFailure = now, now
	default:
		s.appendsFailingSince = min(s.appendsFailingSince, now)
		s.lastAppendFailure = now
	}
}

// Absorb folds a read of the log into the table and returns the decisions on
// this node's claims that it brings.
func (t *Table) ApplyRecords(now timekeeper.Time, read messenger.LogRead) []Decision {
	s, ok := t.streams[read.Stream]
	if !ok {
		return nil
	}
	s.readsFailingSince = timekeeper.Never
	if len(read.Records) > 0 {
		s.appendsFailingSince = timekeeper.Never
	}
	batch := s.position.ApplyRecords(now, read)
	if batch.Gap {
		t.recordGap(s)
	}
	for _, r := range batch.Records {
		t.applyRecord(now, s, r)
	}
	t.expireEntries(s)
	if !s.position.Replayed() {
		return nil
	}
	return t.deliver(s)
}

// deliver hands out the decisions of a stream. A claim that was given up
// meanwhile has none.
func (t *Table) deliver(s *stream) []Decision {
	var out []Decision
	for _, d := range s.pending {
		if d.claim.state != waiting {
			continue
		}
		d.claim.state = abandoned
		if d.Won {
			d.claim.state = won
		}
		out = append(out, d.Decision)
	}
	s.pending = nil
	return out
}

// gapSeen marks this node's waiting claims of a stream as blind: what expired
// unread may hold an earlier claim of their keys, and sending would run the
// request twice. Claims begun later are safe, because what had expired by
// then is older than any key's window.
func (t *Table) recordGap(s *stream) {
	t.counts.Gaps++
	for _, c := range t.ownClaims {
		if c.stream == s.name {
			c.viewHasGap = true
		}
	}
}

// forget drops the entries of a stream that ended well before the latest
// append time. The decision on a later claim compares append times and does
// not depend on when an entry is dropped.
func (t *Table) expireEntries(s *stream) {
	for len(s.expiry) > 0 {
		e := s.expiry[0]
		if s.latestAppend.Before(e.ExpiresAt.Add(expiryMargin)) {
			return
		}
		heap.Pop(&s.expiry)
		t.bodies.drop(e)
		delete(t.entries, e.key())
	}
}
