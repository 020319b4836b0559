// Package leaser grants leases through the platform's log. At most one
// process holds a lease at any instant, by its own belief, as long as all
// clocks run at rates that differ by less than the margin allows.
//
// A grant or renewal names the offset of the lease's record that it follows,
// and is effective only if that is still the lease's last effective record:
// of several that follow the same one, the first in log order wins, on every
// node alike. A lease whose last record is older than forgetAfter terms, by
// the log's append times, may also be granted anew, following none.
//
// The holder counts its term from before its append; all others count it from
// after they read the record, plus a margin. A node takes over only after it
// judged the last record's term to be over. Nothing but a record's effect
// gives a lease, so with the log out none is granted or renewed, and the
// holder's own lapses by its own clock.
//
// The fence of a tenure is the offset of its grant. A process that was paused
// past its term finds so by its clock, which it reads before each order;
// an order that left just before the end is caught by the fence, or waited
// out: see SafeAfter.
//
// A node that starts, or fell behind the log's retention, sees records whose
// predecessors have expired. It takes the chain of a lease for known only
// from the first record that follows one it has read, since no process
// follows a record that had no effect; until then it waits.
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

// Name names a lease.
type Name string

// Config sets up a Table.
type Config struct {
	Self        identifier.VMID
	Incarnation identifier.Incarnation
	// TTL is the term of a grant or renewal, the same on all nodes.
	TTL timekeeper.Duration
	// Margin is what other nodes wait beyond the term. It covers clocks that
	// run at different rates.
	Margin timekeeper.Duration
	// RenewEvery is the spacing of renewals, and of repeated appends.
	RenewEvery timekeeper.Duration
	// Retention is the least time for which the log keeps a record; it is
	// many times the TTL.
	Retention timekeeper.Duration
	// MaxLeases bounds the leases that the table follows.
	MaxLeases int
}

// Default times and sizes.
const (
	DefaultTTL       = 10 * timekeeper.Second
	DefaultMaxLeases = 256
)

const (
	// forgetAfter is the number of terms after which a lease that was not
	// renewed may be granted following none. It is shorter than the log's
	// retention, so that it needs no record that may have expired.
	forgetAfter = 4
	marginShare = 4
	renewShare  = 3
)

func (c Config) withDefaults() Config {
	if c.TTL == 0 {
		c.TTL = DefaultTTL
	}
	if c.Margin == 0 {
		c.Margin = c.TTL / marginShare
	}
	if c.RenewEvery == 0 {
		c.RenewEvery = c.TTL / renewShare
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

// Counts tells what the table ignored or lost since it was made.
type Counts struct {
	// Ignored counts records that could not be read or are of an unknown
	// version.
	Ignored int
	// Overflowed counts records of leases that found no room, and Evicted
	// leases that were dropped for others.
	Overflowed int
	Evicted    int
	// Gaps counts reads before which records may have expired unread.
	Gaps int
}

// safeguards are switched off one by one by negative controls.
type safeguards struct {
	countFromRead bool // the holder counts its term from its own read-back
	ignoreFollows bool // any grant is effective
	ignoreClock   bool // Held does not look at the clock
	noMargin      bool // others count the bare term from the append time
	trustHidden   bool // records that follow an expired one are effective
}

// Table is a node's view of the leases in the log.
type Table struct {
	config   Config
	position *follower.Stream
	leases   map[Name]*lease
	// visible is the oldest offset from which on all records were read, and
	// hiddenUntil an append time that no earlier record passes.
	visible     identifier.Offset
	hiddenUntil timekeeper.Time
	logTime     timekeeper.Time
	// started tells that a read was absorbed; restarted that no record was
	// read since the view began.
	started   bool
	restarted bool
	// quietUntil is until when nobody is granted a lease whose last records may be
	// gone: their holder may still act.
	quietUntil timekeeper.Time
	appends    uint64
	// processes holds the latest start that was heard of on each VM.
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

// maxProcesses bounds the VMs of which a start is remembered.
const maxProcesses = 4096

// ProcessStarted records that a process has started on a VM. What ran there before is no
// more, so that its lease need not be waited out: after a kill of all nodes
// nobody would hold a lease for a whole term.
func (t *Table) ProcessStarted(vm identifier.VMID, i identifier.Incarnation) {
	if _, known := t.processes[vm]; known || len(t.processes) < maxProcesses {
		t.processes[vm] = max(t.processes[vm], i)
	}
}

// SetRetention takes up the retention that the configuration says. A table
// that takes it for longer than it is would trust a view of which records had
// expired unread.
func (t *Table) SetRetention(d timekeeper.Duration) {
	t.config.Retention = d
	t.position.SetRetention(d)
}

// Want makes the node try for a lease, and renew it once it has it. It is
// false if the table has no room for the lease.
//
// A tenure that was released in between does not come back with it: the
// release may be on its way to the log, where another node takes over at once.
func (t *Table) Want(now timekeeper.Time, name Name) bool {
	l, ok := t.lease(now, name)
	if !ok {
		return false
	}
	if l.leaving {
		l.ownFence = 0
	}
	l.wanted = true
	l.leaving = false
	return true
}

// Release gives a lease up, held or not. Held is false from now on; the next
// Tick tells the log, so that another node need not wait out the term.
func (t *Table) Release(name Name) {
	if l, ok := t.leases[name]; ok {
		l.wanted = false
		l.leaving = true
		l.ownFence = 0
	}
}

// ReleaseAll gives all leases up, for a planned stop.
func (t *Table) ReleaseAll() {
	for name := range t.leases {
		t.Release(name)
	}
}

// Ready reports whether the leases were replayed from the oldest kept record
// to the end, with no gap since.
func (t *Table) Ready() bool { return t.position.Replayed() }

// Counts tells what the table ignored or lost.
func (t *Table) Counts() Counts { return t.counts }

// Held reports whether this process holds a lease at an instant of its clock,
// with the fence of its tenure and the instant past which no order may leave.
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

// Holder returns who holds a lease, or held it last, as far as is known.
func (t *Table) Holder(name Name) (identifier.VMID, identifier.Fence, bool) {
	l, ok := t.leases[name]
	if !ok || l.last == 0 || l.released {
		return "", 0, false
	}
	return l.holder, l.fence, true
}

// SafeAfter returns the instant by this node's clock after which no other
// process gives orders under an earlier tenure of the lease, also where that
// one was released early. Servers that ignore fences get no order before it,
// plus the time that an order may take.
func (t *Table) SafeAfter(name Name) timekeeper.Time {
	if l, ok := t.leases[name]; ok {
		return l.safeAfter
	}
	return 0
}

// Tick returns the records to append now. Their answers need not be told:
// only reading them back counts.
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

// ApplyRecords folds a read of the log into the table.
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
		t.replayed()
	}
}

// Restored takes in that the log came back from an older copy of itself. All of it is read
// again, and a lease that this process holds ends until the log shows it: the grant may be
// gone. Offsets of different eras differ, so that a later fence is larger also where its
// place in the log is not.
func (t *Table) Restored(now timekeeper.Time) {
	t.position = follower.New(follower.Config{Retention: t.config.Retention})
	t.quietUntil = now.Add(t.config.TTL + t.config.Margin)
	t.started = false
	for _, l := range t.leases {
		l.ownFence = 0
	}
}

// restart begins a view of the log at its oldest kept record.
func (t *Table) restart(first identifier.Offset) {
	if t.started {
		t.counts.Gaps++
	}
	t.started = true
	t.restarted = true
	t.visible = max(t.visible, first)
	for _, l := range t.leases {
		l.known = false
		l.last = 0
	}
}

// replayed ends the replay: a lease without any kept record has had none for
// longer than it is remembered.
func (t *Table) replayed() {
	for _, l := range t.leases {
		if l.last == 0 {
			l.known = true
		}
	}
}

func (t *Table) nonce() identifier.Nonce {
	t.appends++
	return identifier.Nonce(string(t.config.Self) + "." +
		strconv.FormatUint(uint64(t.config.Incarnation), 36) + "." +
		strconv.FormatUint(t.appends, 36))
}
