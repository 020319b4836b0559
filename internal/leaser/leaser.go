// Package leaser grants leases through the platform's log. At any time at most one
// process considers itself the holder of a lease, as long as the rates of all clocks
// differ by less than the margin allows.
//
// A grant or renewal names the offset of the lease's record that it follows, and is
// effective only if that is still the lease's last effective record. Of several that
// follow the same record, the first in log order wins on every node. A lease whose last
// record is older than expiryTerms terms, by the log's append times, may also be
// granted without a predecessor.
//
// The holder counts its term from before its append; all others count it from after
// they read the record, and add a margin. A node takes over only after it finds the
// last record's term to be over. Only records give a tenure, so during a log outage no
// lease is granted or renewed, and the holder's tenure ends by its own clock.
//
// The fence of a tenure is the offset of its grant. A process that was paused past its
// term detects this by its clock, which it reads before each order. An order sent just
// before the end of the term is rejected by its fence, or other holders wait for it;
// see SafeAfter.
//
// A node that starts, or fell behind the log's retention, reads records whose
// predecessors have expired. It knows a lease's last effective record only from the
// first record that follows one it has read, because processes follow effective records
// only. Until then it waits.
//
// A Table is not safe for concurrent use.
package leaser

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/internal/follower"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Name is the name of a lease.
type Name string

// Config configures a Table.
type Config struct {
	Self        identifier.VMID
	Incarnation identifier.Incarnation
	// TTL is the term of a grant or renewal, the same on all nodes.
	TTL timekeeper.Duration
	// Margin is the time that other nodes wait after the end of a term. It covers
	// clocks that run at different rates.
	Margin timekeeper.Duration
	// RenewEvery is the interval between renewals and between repeated appends.
	RenewEvery timekeeper.Duration
	// Retention is the minimum time for which the log keeps a record, many times the
	// TTL.
	Retention timekeeper.Duration
	// MaxLeases limits the leases in the table.
	MaxLeases int
}

// Defaults of Config.
const (
	DefaultTTL       = 10 * timekeeper.Second
	DefaultMaxLeases = 256
)

const (
	// expiryTerms is the number of terms without a renewal after which a lease may be
	// granted without a predecessor. That time is shorter than the log's retention, so
	// the decision needs no record that may have expired.
	expiryTerms   = 4
	marginDivisor = 4
	renewDivisor  = 3
)

func (c Config) withDefaults() Config {
	if c.TTL == 0 {
		c.TTL = DefaultTTL
	}
	if c.Margin == 0 {
		c.Margin = c.TTL / marginDivisor
	}
	if c.RenewEvery == 0 {
		c.RenewEvery = c.TTL / renewDivisor
	}
	if c.MaxLeases == 0 {
		c.MaxLeases = DefaultMaxLeases
	}
	return c
}

// Append is a record to append to the log.
type Append struct {
	Stream identifier.LogStream
	Data   []byte
}

// Counts are the numbers of events in which the table ignored or lost data.
type Counts struct {
	// Ignored counts records that could not be decoded or have an unknown version.
	Ignored int
	// Overflowed counts records of leases that did not fit into the table, and Evicted
	// leases that were dropped for others.
	Overflowed int
	Evicted    int
	// Gaps counts reads before which records may have expired unread.
	Gaps int
}

// safeguards disables single safeguards, for tests that verify the checks.
type safeguards struct {
	countFromRead bool // the holder counts its term from when it reads its record back
	ignoreFollows bool // any grant is effective
	ignoreClock   bool // Held ignores the clock
	noMargin      bool // other nodes count the term from the append time, without a margin
	trustHidden   bool // records that follow an expired one are effective
}

// Table is a node's view of the leases in the log.
type Table struct {
	config   Config
	position *follower.Stream
	leases   map[Name]*lease
	// oldestVisible is the offset from which on all records were read. No record before
	// it was appended later than hiddenUntil.
	oldestVisible identifier.Offset
	hiddenUntil   timekeeper.Time
	logTime       timekeeper.Time
	// started is set after the first read, and restarted if no record was read since
	// the view began.
	started   bool
	restarted bool
	// noGrantsUntil is the time before which no lease is granted, because its last
	// records may be lost and their holder may still act.
	noGrantsUntil timekeeper.Time
	appends       uint64
	// processes holds the latest known incarnation on each VM.
	processes map[identifier.VMID]identifier.Incarnation
	counts    Counts
	off       safeguards
}

// New returns an empty table.
func New(c Config) *Table {
	c = c.withDefaults()
	return &Table{
		config:   c,
		position: follower.New(follower.Config{Retention: c.Retention}),
		leases:   make(map[Name]*lease),
		processes: map[identifier.VMID]identifier.Incarnation{
			c.Self: c.Incarnation,
		},
	}
}

// maxProcesses limits the VMs whose incarnation is remembered.
const maxProcesses = 4096

// ProcessStarted records that a process has started on a VM. The process that ran there
// before has ended, so nodes need not wait for the end of its term; after a restart of
// all nodes there would be no holder for a whole term.
func (t *Table) ProcessStarted(vm identifier.VMID, i identifier.Incarnation) {
	if _, known := t.processes[vm]; known || len(t.processes) < maxProcesses {
		t.processes[vm] = max(t.processes[vm], i)
	}
}

// SetRetention sets the log's retention. With one that is too long, the table would
// trust a view in which records expired unread.
func (t *Table) SetRetention(d timekeeper.Duration) {
	t.config.Retention = d
	t.position.SetRetention(d)
}

// Want makes the node try to acquire a lease and then renew it. It returns false if the
// table is full.
//
// A tenure that was released before is not resumed: its release may be on its way to
// the log, after which another node takes over at once.
func (t *Table) Want(now timekeeper.Time, name Name) bool {
	l, ok := t.lease(now, name)
	if !ok {
		return false
	}
	if l.releasing {
		l.ownFence = 0
	}
	l.wanted = true
	l.releasing = false
	return true
}

// Forgo makes the node neither acquire nor renew a lease unless it holds it. Its appends that are on
// their way may still be effective, unless another process has read its own grant since.
func (t *Table) Forgo(now timekeeper.Time, name Name) {
	if _, _, held := t.Held(name, now); held {
		return
	}
	if l, ok := t.leases[name]; ok {
		l.wanted = false
	}
}

// Release gives up a lease, whether held or not. Held returns false from now on. The
// next Tick appends a release, so that other nodes need not wait for the end of the
// term.
func (t *Table) Release(name Name) {
	if l, ok := t.leases[name]; ok {
		l.wanted = false
		l.releasing = true
		l.ownFence = 0
	}
}

// ReleaseAll gives up all leases before a planned stop.
func (t *Table) ReleaseAll() {
	for name := range t.leases {
		t.Release(name)
	}
}

// Ready reports whether the leases were replayed from the oldest retained record to the
// end of the log, without a gap since.
func (t *Table) Ready() bool { return t.position.Replayed() }

// Counts returns the numbers of events in which the table ignored or lost data.
func (t *Table) Counts() Counts { return t.counts }

// Held reports whether this process holds a lease at a time of its clock. It returns
// the fence of the tenure and the time after which no order may be sent.
func (t *Table) Held(name Name, now timekeeper.Time) (fence identifier.Fence, notAfter timekeeper.Time, ok bool) {
	l, found := t.leases[name]
	if !found || l.ownFence == 0 {
		return 0, 0, false
	}
	if !now.Before(l.notAfter) && !t.off.ignoreClock {
		return 0, 0, false
	}
	return l.ownFence, l.notAfter, true
}

// Holder returns the last known holder of a lease and its fence, and false if there is
// none.
func (t *Table) Holder(name Name) (identifier.VMID, identifier.Fence, bool) {
	l, ok := t.leases[name]
	if !ok || l.last == 0 || l.released {
		return "", 0, false
	}
	return l.holder, l.fence, true
}

// SafeAfter returns the time by this node's clock after which no other process sends
// orders under an earlier tenure of the lease, even one that was released early.
// Servers that ignore fences receive no order before that time plus the maximum
// duration of an order.
func (t *Table) SafeAfter(name Name) timekeeper.Time {
	if l, ok := t.leases[name]; ok {
		return l.safeAfter
	}
	return 0
}

// Tick returns the records to append now. The results of the appends need not be
// reported: only reading the records back counts.
func (t *Table) Tick(now timekeeper.Time, rng *rand.Rand) []Append {
	if !t.Ready() {
		return nil
	}
	names := make([]Name, 0, len(t.leases))
	for name := range t.leases {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []Append
	for _, name := range names {
		r, ok := t.next(now, rng, t.leases[name])
		if !ok {
			continue
		}
		r.Lease = name
		out = append(out, Append{
			Stream: Stream,
			Data:   r.encode(),
		})
	}
	return out
}

// ApplyRecords applies the records of a read of the log.
func (t *Table) ApplyRecords(now timekeeper.Time, read messenger.LogRead) {
	if read.Stream != Stream {
		return
	}
	ready := t.Ready()
	batch := t.position.ApplyRecords(now, read)
	if batch.Gap || !t.started {
		t.restart(read.First)
		ready = false
	}
	for _, r := range batch.Records {
		t.applyRecord(now, ready, r)
	}
	if !ready && t.Ready() {
		t.endReplay()
	}
}

// Restored handles the restoration of the log from an older copy. All of it is read
// again, and a lease held by this process ends until it is read in the log, because its
// grant may be lost. Offsets contain the store's generation, so a later fence is larger
// even if its position in the log is not.
func (t *Table) Restored(now timekeeper.Time) {
	t.position = follower.New(follower.Config{Retention: t.config.Retention})
	t.noGrantsUntil = now.Add(t.config.TTL + t.config.Margin)
	t.started = false
	for _, l := range t.leases {
		l.ownFence = 0
	}
}

// restart begins a view of the log at its oldest retained record.
func (t *Table) restart(first identifier.Offset) {
	if t.started {
		t.counts.Gaps++
	}
	t.started = true
	t.restarted = true
	t.oldestVisible = max(t.oldestVisible, first)
	for _, l := range t.leases {
		l.lastKnown = false
		l.last = 0
	}
}

// endReplay ends the replay: a lease without a retained record has had none for longer
// than a record counts.
func (t *Table) endReplay() {
	for _, l := range t.leases {
		if l.last == 0 {
			l.lastKnown = true
		}
	}
}

func (t *Table) nonce() identifier.Nonce {
	t.appends++
	return identifier.Nonce(string(t.config.Self) + "." +
		strconv.FormatUint(uint64(t.config.Incarnation), 36) + "." +
		strconv.FormatUint(t.appends, 36))
}
