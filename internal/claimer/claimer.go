// Package claimer decides which node may send a non-idempotent request that has an
// idempotency key. Every node appends a claim to the platform's log and reads it back;
// the first claim of a key in log order wins, and only its claimant ever sends.
//
// All nodes apply the same records by the same rules, which depend only on the records
// and on the log's own append times:
//
//   - The first claim of a key holds it for its window, which is counted from
//     the last claim of the key by any node. Whether a key is held therefore
//     follows from the records of the last window alone, and a node that
//     started too late to see the first claim still considers the key held.
//   - A claim that is appended again with the same nonce counts once.
//   - A claim of a held key loses permanently.
//   - An outcome counts only if it has the holder's nonce, and only the first.
//   - A release counts only if it has the holder's nonce and claimant, and there
//     is no outcome. Afterwards the key is free for claims whose claimants had
//     read the release when the request came; all others have lost. The node
//     that released the key may have answered not_run, which would become false
//     if a request that another node accepted earlier, or a late copy of the
//     claim, won the key. A node may release only if it never sent the request,
//     or if the backend server answered that it did not run. A release that
//     precedes its claim has no effect, so a node releases only claims that it
//     has read back as holders.
//
// Each claim is decided by its own claimant alone. If an earlier claim of the
// key may have expired unread, the claimant treats its own claim as unsettled:
// it neither sends nor releases.
//
// The table is bounded: at MaxEntries it refuses claims, and it never forgets a
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
	// MaxEntries bounds the keys and claims in the table. Claims of other nodes may
	// exceed it by an eighth.
	MaxEntries int
	// MaxBodyBytes bounds the total size of the recorded answers; the oldest are
	// dropped first.
	MaxBodyBytes identifier.Bytes
	// Retention is the minimum time for which the log keeps a record.
	Retention timekeeper.Duration
	// DecisionTimeout is the time after which Overdue lists a claim.
	DecisionTimeout timekeeper.Duration
	// AppendInterval is the minimum time between repeated appends of a record.
	AppendInterval timekeeper.Duration
}

// maxWindow is the longest window of a key. The rest of the retention allows for the
// time to read a claim back and for clock drift.
func (c Config) maxWindow() timekeeper.Duration { return c.Retention / 4 * 3 }

// The defaults of Config.
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

// Entry is the state of a key according to the log.
type Entry struct {
	Account  identifier.AccountID
	Key      identifier.IdempotencyKey
	Request  identifier.RequestID
	Winner   identifier.VMID
	Nonce    identifier.Nonce
	Offset   identifier.Offset
	Appended timekeeper.Time
	// ExpiresAt is the append time at which the key is forgotten, unless it is claimed
	// again.
	ExpiresAt timekeeper.Time
	// Released reports that the winner released the key without sending. ReleasedAt is
	// the offset of that record.
	Released   bool
	ReleasedAt identifier.Offset
	// Recorded is the winner's outcome, or nil.
	Recorded *messenger.RecordedOutcome
}

// Decision is the result of a claim of this node.
type Decision struct {
	Request identifier.RequestID
	// Won allows this node to send the request, once.
	Won bool
	// Unsettled reports that an earlier claim may have expired unread: the request must
	// not be sent, and may have run elsewhere.
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

// Counts holds the totals of what a table refused, ignored or dropped.
type Counts struct {
	// Refused counts claims of this node that were refused because the table was full.
	Refused int
	// Overflowed counts claims of other nodes that did not fit in the table.
	Overflowed int
	// Ignored counts records that are malformed, of an unknown version or kind, or in
	// the wrong stream.
	Ignored int
	// Gaps counts reads before which records may have expired unread.
	Gaps int
	// Unsettled counts claims of this node that were decided as unsettled.
	Unsettled int
	// BodiesDropped counts recorded answers dropped to stay within MaxBodyBytes.
	BodiesDropped int
}

// readOutageAfter is the time for which reads must fail before the log is considered
// unavailable. A single failed read is no outage.
const readOutageAfter = 300 * timekeeper.Millisecond

const (
	// appendOutageAfter is the minimum time between the first and the last failed
	// append, with no success in between, before the log is considered unavailable.
	appendOutageAfter = 400 * timekeeper.Millisecond
	// probeInterval is the time after a failed append at which claims are accepted
	// again, to test the log.
	probeInterval = 2 * timekeeper.Second
)

// safeguards names rules that negative controls in tests disable one at a time.
type safeguards struct {
	ignoreSeen   bool // let any claim after a release hold the key
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
	// ownClaims lists this node's claims, oldest first.
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

// stream is the state of one partition of the claims.
type stream struct {
	name     identifier.LogStream
	position *follower.Stream
	// latestAppend is the latest append time read.
	latestAppend timekeeper.Time
	// unrecordedUntil is the append time before which a claim that did not fit in the
	// table may hold its key.
	unrecordedUntil timekeeper.Time
	expiry          expiryHeap
	clockAppendedAt timekeeper.Time
	// readsFailingSince is the time of the first failed read since the last success, or
	// Never.
	readsFailingSince timekeeper.Time
	// appendsFailingSince is the time of the first failed append since the last success
	// or the last probe, or Never; lastAppendFailure is that of the last one.
	appendsFailingSince timekeeper.Time
	lastAppendFailure   timekeeper.Time
	// pending lists the decisions to deliver once the stream has been replayed.
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

// SetRetention sets the log's retention to the configured value. A table that assumes a
// longer retention than the log has would fail to detect records that expired unread,
// and could run a key twice.
func (t *Table) SetRetention(d timekeeper.Duration) {
	t.config.Retention = d
	for _, s := range t.streams {
		s.position.SetRetention(d)
	}
}

// Streams returns the log streams that the table reads.
func (t *Table) Streams() []identifier.LogStream {
	names := make([]identifier.LogStream, 0, t.config.Partitions)
	for n := range t.config.Partitions {
		names = append(names, partition(n))
	}
	return names
}

// Ready reports whether a stream was replayed from its oldest record to its end, with
// no gap since. No claim on it is won before that.
func (t *Table) Ready(s identifier.LogStream) bool {
	p, ok := t.streams[s]
	return ok && p.position.Replayed()
}

// Full reports whether the table refuses new claims.
func (t *Table) Full() bool {
	return len(t.entries)+len(t.ownClaims) >= t.config.MaxEntries
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.entries) }

// Counts returns the totals since the table was created.
func (t *Table) Counts() Counts { return t.counts }

// Lookup returns the entry of a key whose window has not passed.
func (t *Table) Lookup(account identifier.AccountID, idempotencyKey identifier.IdempotencyKey) (Entry, bool) {
	e, ok := t.entries[key{
		account: account,
		key:     idempotencyKey,
	}]
	if !ok || !e.holdsAt(t.streams[e.stream].latestAppend) {
		return Entry{}, false
	}
	return e.Entry, true
}

// ReadFailed records that a stream could not be read. ApplyRecords clears it.
func (t *Table) ReadFailed(now timekeeper.Time, name identifier.LogStream) {
	if s, ok := t.streams[name]; ok {
		s.readsFailingSince = min(s.readsFailingSince, now)
	}
}

// LogUnavailable reports whether a stream has been failing long enough that new claims
// should be rejected at once, instead of making callers wait.
func (t *Table) LogUnavailable(now timekeeper.Time, name identifier.LogStream) bool {
	s, ok := t.streams[name]
	return ok && (s.readsFailing(now) || s.appendsFailing(now))
}

func (s *stream) readsFailing(now timekeeper.Time) bool {
	return s.readsFailingSince != timekeeper.Never && now.Sub(s.readsFailingSince) >= readOutageAfter
}

// appendsFailing reports whether appends have failed over at least appendOutageAfter,
// the last one within probeInterval. Several failures at one moment are no outage.
// After probeInterval without an append the next claim is accepted as a probe.
func (s *stream) appendsFailing(now timekeeper.Time) bool {
	return s.appendsFailingSince != timekeeper.Never &&
		s.lastAppendFailure.Sub(s.appendsFailingSince) >= appendOutageAfter && now.Sub(s.lastAppendFailure) < probeInterval
}

// AppendEnded records the result of an append to a stream. In an outage appends fail at
// once, while a read that waits for new records fails only seconds later. The result
// only decides whether new claims are accepted: whether a failed append took effect is
// known only from reading the log.
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

// ApplyRecords applies the records of a read and returns the resulting decisions on
// this node's claims.
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

// deliver returns the pending decisions of a stream, except on claims that were
// abandoned meanwhile.
func (t *Table) deliver(s *stream) []Decision {
	var out []Decision
	for _, d := range s.pending {
		if d.claim.state != pending {
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

// recordGap marks this node's claims of a stream as made with an incomplete view: an
// expired record may hold an earlier claim of their keys, and sending would run the
// request twice. Later claims are safe, since records that expired before them are
// older than any key's window.
func (t *Table) recordGap(s *stream) {
	t.counts.Gaps++
	for _, c := range t.ownClaims {
		if c.stream == s.name {
			c.viewHasGap = true
		}
	}
}

// expireEntries removes entries whose window ended more than expiryMargin before the
// latest append time. Decisions compare append times, so they do not depend on when an
// entry is removed.
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
