package leaser

import (
	"math/rand/v2"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// lease is a node's view of one lease.
type lease struct {
	wanted    bool
	releasing bool

	// lastKnown is set if last is certainly the lease's last effective record.
	// Otherwise it is the last one that may be.
	lastKnown   bool
	last        identifier.Offset
	appendedAt  timekeeper.Time
	readAt      timekeeper.Time
	ttl         timekeeper.Duration
	holder      identifier.VMID
	incarnation identifier.Incarnation
	fence       identifier.Fence
	released    bool
	// safeAfter is the end of all terms of other processes.
	safeAfter timekeeper.Time

	// ownFence and notAfter describe this process's tenure; they are zero without one.
	ownFence identifier.Fence
	notAfter timekeeper.Time
	// pending are the records that this process appended and has not read back, latest
	// last.
	pending   []pendingAppend
	renewedAt timekeeper.Time
	tryAt     timekeeper.Time
}

// pendingAppend is an append that was not read back.
type pendingAppend struct {
	nonce  identifier.Nonce
	sentAt timekeeper.Time
}

// maxPending limits the appends whose time is remembered. An older one gives no tenure,
// but may keep other nodes out.
const maxPending = 8

// lease returns the state of a lease, creating it if the table is not full.
func (t *Table) lease(now timekeeper.Time, name Name) (*lease, bool) {
	if l, ok := t.leases[name]; ok {
		return l, true
	}
	if len(t.leases) >= t.config.MaxLeases && !t.evict(now) {
		return nil, false
	}
	l := &lease{lastKnown: t.Ready()}
	t.leases[name] = l
	return l, true
}

// evict makes space by dropping the lease with the oldest last record, among those that
// may be granted without a predecessor. A late grant that follows one of its records
// then counts as one that follows an expired record: doubtful.
func (t *Table) evict(now timekeeper.Time) bool {
	var oldest Name
	for name, l := range t.leases {
		stale := t.logTime.Sub(l.appendedAt) >= expiryTerms*l.ttl && !now.Before(l.safeAfter)
		if l.wanted || l.releasing || l.last == 0 || !l.lastKnown || !stale {
			continue
		}
		if oldest == "" || l.last < t.leases[oldest].last {
			oldest = name
		}
	}
	if oldest == "" {
		return false
	}
	t.oldestVisible = max(t.oldestVisible, t.leases[oldest].last+1)
	delete(t.leases, oldest)
	t.counts.Evicted++
	return true
}

// isHolder reports whether this process wrote the lease's last record.
func (t *Table) isHolder(l *lease) bool {
	return l.last != 0 && l.holder == t.config.Self && l.incarnation == t.config.Incarnation
}

// next returns the record that has to be appended for a lease now, if any.
func (t *Table) next(now timekeeper.Time, rng *rand.Rand, l *lease) (record, bool) {
	if n := len(l.pending); n > 0 && now.Sub(l.pending[n-1].sentAt) < t.config.RenewEvery {
		return record{}, false
	}
	switch {
	case l.lastKnown && t.isHolder(l) && !l.released:
		if l.releasing {
			return t.newRecord(now, l, releaseKind), true
		}
		if l.wanted && now.Sub(l.renewedAt) >= t.config.RenewEvery {
			return t.newRecord(now, l, renewKind), true
		}
	case l.wanted && t.mayAcquire(now, l) && t.jitterElapsed(now, rng, l):
		return t.newRecord(now, l, grantKind), true
	}
	return record{}, false
}

// mayAcquire reports whether this node may try to acquire the lease now.
func (t *Table) mayAcquire(now timekeeper.Time, l *lease) bool {
	if now.Before(t.noGrantsUntil) {
		return false
	}
	if l.last == 0 {
		return l.lastKnown
	}
	if !l.lastKnown {
		return !now.Before(l.readAt.Add(expiryTerms*l.ttl + t.config.Margin))
	}
	ended := l.incarnation < t.processes[l.holder]
	return l.released || ended || !now.Before(t.expiry(l))
}

// expiry returns the time by this node's clock at which the holder's term is over. The
// holder counts its term from before its append, which precedes this node's read; the
// margin covers a fast clock at this node.
func (t *Table) expiry(l *lease) timekeeper.Time {
	if t.off.noMargin {
		return l.appendedAt.Add(l.ttl)
	}
	return l.readAt.Add(l.ttl + t.config.Margin)
}

// jitterElapsed delays attempts by a random time. Otherwise all nodes would append a
// grant as soon as a lease is free, and all but one in vain.
func (t *Table) jitterElapsed(now timekeeper.Time, rng *rand.Rand, l *lease) bool {
	if l.tryAt == 0 {
		l.tryAt = now.Add(timekeeper.Duration(rng.Int64N(int64(t.config.RenewEvery) + 1)))
	}
	return !now.Before(l.tryAt)
}

func (t *Table) newRecord(now timekeeper.Time, l *lease, kind recordKind) record {
	nonce := t.nonce()
	if len(l.pending) == maxPending {
		l.pending = slices.Delete(l.pending, 0, 1)
	}
	l.pending = append(l.pending, pendingAppend{
		nonce:  nonce,
		sentAt: now,
	})
	l.tryAt = 0
	r := record{
		Kind:        kind,
		Holder:      t.config.Self,
		Incarnation: t.config.Incarnation,
		Nonce:       nonce,
		TTL:         t.config.TTL,
	}
	if l.lastKnown {
		r.Follows = l.last
	}
	if kind != grantKind {
		r.Fence = l.fence
	}
	return r
}

// verdict is the effect of a record on its lease.
type verdict int

const (
	ineffective verdict = iota
	// doubtful records may be effective, depending on records that expired.
	doubtful
	effective
)

// judge returns the effect of a record. If the lease's last record is known, it depends
// only on the records of the log.
func (t *Table) judge(ready bool, l *lease, at messenger.Record, r record) verdict {
	if t.off.ignoreFollows {
		return effective
	}
	if r.Follows == 0 {
		return t.judgeFirst(ready, l, at, r)
	}
	switch {
	case l.lastKnown && r.Follows == l.last:
		return t.judgeHolder(l, r)
	case l.lastKnown && l.last != 0:
		return ineffective
	case r.Follows >= t.oldestVisible:
		// The record is the first after a visible one, and its writer knew that one to
		// be effective.
		return effective
	case t.off.trustHidden:
		return effective
	}
	return doubtful
}

// judgeFirst returns the effect of a grant without a predecessor.
func (t *Table) judgeFirst(ready bool, l *lease, at messenger.Record, r record) verdict {
	since := l.appendedAt
	if l.last == 0 {
		since = t.hiddenUntil
	}
	switch {
	case r.Kind != grantKind:
		return ineffective
	case l.last == 0 && (l.lastKnown || ready):
		return effective
	case at.Appended.Sub(since) >= expiryTerms*max(r.TTL, l.ttl):
		return effective
	case l.lastKnown:
		return ineffective
	}
	return doubtful
}

func (t *Table) judgeHolder(l *lease, r record) verdict {
	sameHolder := r.Holder == l.holder && r.Incarnation == l.incarnation && r.Fence == l.fence
	if r.Kind == grantKind || sameHolder && !l.released {
		return effective
	}
	return ineffective
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
	sentAt, pending := l.takePending(r.Nonce)
	v := t.judge(ready, l, at, r)
	if v == ineffective {
		return
	}
	l.lastKnown = v == effective
	l.accept(now, at, r)
	ownRecord := r.Holder == t.config.Self && r.Incarnation == t.config.Incarnation
	if !ownRecord {
		l.ownFence = 0
		l.safeAfter = max(l.safeAfter, now.Add(r.TTL+t.config.Margin))
		return
	}
	if pending && v == effective {
		t.extendTenure(now, l, sentAt, r)
	}
}

// takePending removes the pending append with a nonce. It returns the time of the
// append, and whether there was one.
func (l *lease) takePending(nonce identifier.Nonce) (sentAt timekeeper.Time, found bool) {
	for i, p := range l.pending {
		if p.nonce == nonce {
			l.pending = slices.Delete(l.pending, i, i+1)
			return p.sentAt, true
		}
	}
	return 0, false
}

// accept makes a record the lease's last one.
func (l *lease) accept(now timekeeper.Time, at messenger.Record, r record) {
	l.last = at.Offset
	l.appendedAt = at.Appended
	l.readAt = now
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

// extendTenure extends this process's tenure by a record that it appended.
func (t *Table) extendTenure(now timekeeper.Time, l *lease, sentAt timekeeper.Time, r record) {
	if t.off.countFromRead {
		sentAt = now
	}
	l.renewedAt = sentAt
	l.notAfter = sentAt.Add(t.config.TTL)
	l.ownFence = l.fence
	if l.releasing || r.Kind == releaseKind {
		l.ownFence = 0
	}
}
