package leaser

import (
	"math/rand/v2"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// lease is what a node knows of one lease.
type lease struct {
	wanted  bool
	leaving bool

	// known tells that last is surely the lease's last effective record.
	// Else it is the last one that may have been.
	known       bool
	last        identifier.Offset
	appended    timekeeper.Time
	read        timekeeper.Time
	ttl         timekeeper.Duration
	holder      identifier.VMID
	incarnation identifier.Incarnation
	fence       identifier.Fence
	released    bool
	// safeAfter is the end of all terms of other processes.
	safeAfter timekeeper.Time

	// ownFence and notAfter are this process's tenure, or zero.
	ownFence identifier.Fence
	notAfter timekeeper.Time
	// pending are the records that this process appended and has not read
	// back, latest last.
	pending []attempt
	renewed timekeeper.Time
	tryAt   timekeeper.Time
}

// attempt is an append whose effect is not known yet.
type attempt struct {
	nonce identifier.Nonce
	sent  timekeeper.Time
}

// maxPending bounds the attempts of which the send time is remembered. The
// effect of an older one gives no tenure, though it may keep others out.
const maxPending = 8

// lease returns the state of a lease, which it makes where there is room.
func (t *Table) lease(now timekeeper.Time, name Name) (*lease, bool) {
	if l, ok := t.leases[name]; ok {
		return l, true
	}
	if len(t.leases) >= t.config.MaxLeases && !t.evict(now) {
		return nil, false
	}
	l := &lease{known: t.Ready()}
	t.leases[name] = l
	return l, true
}

// evict makes room by dropping the lease that was left alone for longest, if
// it may be granted following none. A late grant that follows one of its
// records then counts as one that follows an expired record: doubtful.
func (t *Table) evict(now timekeeper.Time) bool {
	var oldest Name
	for name, l := range t.leases {
		stale := t.logTime.Sub(l.appended) >= forgetAfter*l.ttl && !now.Before(l.safeAfter)
		if l.wanted || l.leaving || l.last == 0 || !l.known || !stale {
			continue
		}
		if oldest == "" || l.last < t.leases[oldest].last {
			oldest = name
		}
	}
	if oldest == "" {
		return false
	}
	t.visible = max(t.visible, t.leases[oldest].last+1)
	delete(t.leases, oldest)
	t.counts.Evicted++
	return true
}

// mine reports whether this process wrote the lease's last record.
func (t *Table) mine(l *lease) bool {
	return l.last != 0 && l.holder == t.config.Self && l.incarnation == t.config.Incarnation
}

// next returns the record that a lease needs appended now, if any.
func (t *Table) next(now timekeeper.Time, rng *rand.Rand, l *lease) (record, bool) {
	if n := len(l.pending); n > 0 && now.Sub(l.pending[n-1].sent) < t.config.RenewEvery {
		return record{}, false
	}
	switch {
	case l.known && t.mine(l) && !l.released:
		if l.leaving {
			return t.send(now, l, releaseKind), true
		}
		if l.wanted && now.Sub(l.renewed) >= t.config.RenewEvery {
			return t.send(now, l, renewKind), true
		}
	case l.wanted && t.free(now, l) && t.waited(now, rng, l):
		return t.send(now, l, grantKind), true
	}
	return record{}, false
}

// free reports whether this node may take the lease now.
func (t *Table) free(now timekeeper.Time, l *lease) bool {
	if now.Before(t.quietUntil) {
		return false
	}
	if l.last == 0 {
		return l.known
	}
	if !l.known {
		return !now.Before(l.read.Add(forgetAfter*l.ttl + t.config.Margin))
	}
	ended := l.incarnation < t.processes[l.holder]
	return l.released || ended || !now.Before(t.lapses(l))
}

// lapses returns the instant by this node's clock at which the holder's term
// is over. The holder counted it from before its append, which was before
// this node read it; the margin covers a clock of this node that runs fast.
func (t *Table) lapses(l *lease) timekeeper.Time {
	if t.off.noMargin {
		return l.appended.Add(l.ttl)
	}
	return l.read.Add(l.ttl + t.config.Margin)
}

// waited spreads the tries of several nodes: with one free lease each of them
// would append at once, and all appends but one would be wasted.
func (t *Table) waited(now timekeeper.Time, rng *rand.Rand, l *lease) bool {
	if l.tryAt == 0 {
		l.tryAt = now.Add(timekeeper.Duration(rng.Int64N(int64(t.config.RenewEvery) + 1)))
	}
	return !now.Before(l.tryAt)
}

func (t *Table) send(now timekeeper.Time, l *lease, kind recordKind) record {
	nonce := t.nonce()
	if len(l.pending) == maxPending {
		l.pending = slices.Delete(l.pending, 0, 1)
	}
	l.pending = append(l.pending, attempt{
		nonce: nonce,
		sent:  now,
	})
	l.tryAt = 0
	r := record{
		Kind:        kind,
		Holder:      t.config.Self,
		Incarnation: t.config.Incarnation,
		Nonce:       nonce,
		TTL:         t.config.TTL,
	}
	if l.known {
		r.Follows = l.last
	}
	if kind != grantKind {
		r.Fence = l.fence
	}
	return r
}

// effect is what a record does to its lease.
type effect int

const (
	none effect = iota
	// doubtful: it may be effective, depending on records that expired.
	doubtful
	effective
)

// judge tells the effect of a record. Of a known lease it depends on nothing
// but the records of the log.
func (t *Table) judge(ready bool, l *lease, at messenger.Record, r record) effect {
	if t.off.ignoreFollows {
		return effective
	}
	if r.Follows == 0 {
		return t.judgeFirst(ready, l, at, r)
	}
	switch {
	case l.known && r.Follows == l.last:
		return t.judgeHolder(l, r)
	case l.known && l.last != 0:
		return none
	case r.Follows >= t.visible:
		// The first of the records that follow a visible one. Its writer knew
		// that one to be effective.
		return effective
	case t.off.trustHidden:
		return effective
	}
	return doubtful
}

// judgeFirst tells the effect of a grant that follows none.
func (t *Table) judgeFirst(ready bool, l *lease, at messenger.Record, r record) effect {
	since := l.appended
	if l.last == 0 {
		since = t.hiddenUntil
	}
	switch {
	case r.Kind != grantKind:
		return none
	case l.last == 0 && (l.known || ready):
		return effective
	case at.Appended.Sub(since) >= forgetAfter*max(r.TTL, l.ttl):
		return effective
	case l.known:
		return none
	}
	return doubtful
}

func (t *Table) judgeHolder(l *lease, r record) effect {
	sameHolder := r.Holder == l.holder && r.Incarnation == l.incarnation && r.Fence == l.fence
	if r.Kind == grantKind || sameHolder && !l.released {
		return effective
	}
	return none
}

// applyRecord applies one record of the log.
func (t *Table) applyRecord(now timekeeper.Time, ready bool, at messenger.Record) {
	t.logTime = max(t.logTime, at.Appended)
	if t.restarted {
		t.restarted = false
		t.hiddenUntil = t.logTime
	}
	r, ok := decode(at.Data)
	if !ok {
		t.counts.Ignored++
		return
	}
	l, ok := t.lease(now, r.Lease)
	if !ok {
		t.counts.Overflowed++
		return
	}
	sent, mine := l.settle(r.Nonce)
	e := t.judge(ready, l, at, r)
	if e == none {
		return
	}
	l.known = e == effective
	l.accept(now, at, r)
	own := r.Holder == t.config.Self && r.Incarnation == t.config.Incarnation
	if !own {
		l.ownFence = 0
		l.safeAfter = max(l.safeAfter, now.Add(r.TTL+t.config.Margin))
		return
	}
	if mine && e == effective {
		t.extend(now, l, sent, r)
	}
}

// settle tells whether a record is one that this process waits for, and when
// it was sent.
func (l *lease) settle(nonce identifier.Nonce) (sent timekeeper.Time, mine bool) {
	for i, a := range l.pending {
		if a.nonce == nonce {
			l.pending = slices.Delete(l.pending, i, i+1)
			return a.sent, true
		}
	}
	return 0, false
}

// accept makes a record the lease's last.
func (l *lease) accept(now timekeeper.Time, at messenger.Record, r record) {
	l.last = at.Offset
	l.appended = at.Appended
	l.read = now
	l.ttl = r.TTL
	l.holder = r.Holder
	l.incarnation = r.Incarnation
	l.released = r.Kind == releaseKind
	l.tryAt = 0
	l.fence = r.Fence
	if r.Kind == grantKind {
		l.fence = at.Offset
	}
}

// extend prolongs this process's own tenure by a record that it appended.
func (t *Table) extend(now timekeeper.Time, l *lease, sent timekeeper.Time, r record) {
	if t.off.countFromRead {
		sent = now
	}
	l.renewed = sent
	l.notAfter = sent.Add(t.config.TTL)
	l.ownFence = l.fence
	if l.leaving || r.Kind == releaseKind {
		l.ownFence = 0
	}
}
