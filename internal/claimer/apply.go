package claimer

import (
	"container/heap"
	"encoding/json"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// applyRecord applies one record of the log.
func (t *Table) applyRecord(now timekeeper.Time, s *stream, logRecord messenger.Record) {
	s.latestAppend = max(s.latestAppend, logRecord.Appended)
	var r record
	if err := json.Unmarshal(logRecord.Data, &r); err != nil || r.Version != recordVersion {
		t.counts.Ignored++
		return
	}
	if r.Kind != clockKind && Stream(r.Account, r.Key, t.config.Partitions) != s.name {
		t.counts.Ignored++
		return
	}
	switch r.Kind {
	case claimKind:
		t.applyClaim(now, s, logRecord, r)
	case outcomeKind:
		t.applyOutcome(r)
	case releaseKind:
		t.applyRelease(logRecord.Offset, r)
	case clockKind:
	default:
		t.counts.Ignored++
	}
}

func (t *Table) applyClaim(now timekeeper.Time, s *stream, logRecord messenger.Record, r record) {
	e, ok := t.entries[key{
		account: r.Account,
		key:     r.Key,
	}]
	held := ok && e.holdsAt(t.decisionTime(now, logRecord))
	c := t.nonces[r.Nonce]
	switch {
	case held && e.Nonce == r.Nonce:
		t.extend(now, s, e, logRecord, r)
	case held && !t.isFree(e, r):
		t.extend(now, s, e, logRecord, r)
		t.decideLoser(s, c, e)
	default:
		t.setHolder(now, s, logRecord, r)
		t.decideHolder(now, s, logRecord, c)
	}
}

// isFree reports whether a claim may hold a key whose earlier claim was released.
func (t *Table) isFree(e *entry, r record) bool {
	return e.Released && (r.Seen > e.ReleasedAt || t.disabled.ignoreSeen)
}

// decisionTime returns the time at which a claim is evaluated. It is the log's append
// time, so that all nodes expire a key before the same claim.
func (t *Table) decisionTime(now timekeeper.Time, logRecord messenger.Record) timekeeper.Time {
	if t.disabled.localTime {
		return now
	}
	return logRecord.Appended
}

func (t *Table) extend(now timekeeper.Time, s *stream, e *entry, logRecord messenger.Record, r record) {
	if t.disabled.fixedWindow {
		return
	}
	e.extend(now, logRecord, r)
	heap.Fix(&s.expiry, e.index)
}

// setHolder makes a claim the holder of its key.
func (t *Table) setHolder(now timekeeper.Time, s *stream, logRecord messenger.Record, r record) {
	e := newEntry(now, s.name, logRecord, r)
	if old, ok := t.entries[e.key()]; ok {
		heap.Remove(&s.expiry, old.index)
		t.bodies.drop(old)
		delete(t.entries, e.key())
	}
	if len(t.entries) >= t.config.MaxEntries+t.config.MaxEntries/8 {
		// Without an entry for this claim, a later claim of the same key would seem to
		// be the first and run again. Until its window has passed, no claim of this
		// node on the stream wins.
		t.counts.Overflowed++
		s.unrecordedUntil = max(s.unrecordedUntil, e.ExpiresAt)
		return
	}
	t.entries[e.key()] = e
	heap.Push(&s.expiry, e)
}

// decideHolder decides a claim of this node that holds its key in this node's view.
//
// A record that expired unread before a read was appended at least a retention earlier.
// It affects a claim only if it was appended within a window of it, and a window is at
// most three quarters of the retention. So a claim that is read back soon after it
// began can't lose to a record that this node never saw. If the node was frozen in
// between, the claim is unsettled, since another node may have sent the request.
func (t *Table) decideHolder(now timekeeper.Time, s *stream, logRecord messenger.Record, c *claim) {
	if c == nil {
		return
	}
	readLate := now.Sub(c.began) >= t.config.Retention/8
	c.confirmedFirst = !c.viewHasGap && !readLate && !logRecord.Appended.Before(s.unrecordedUntil) || t.disabled.trustView
	if c.state != pending {
		return
	}
	if !c.confirmedFirst {
		t.counts.Unsettled++
		s.decide(c, Decision{Unsettled: true})
		return
	}
	s.decide(c, Decision{
		Won:           true,
		Winner:        t.config.Self,
		WinnerRequest: c.request,
	})
}

// decideLoser decides a claim of this node whose key is held. If the holder is a claim
// that this node abandoned, the claim waits for its release.
func (t *Table) decideLoser(s *stream, c *claim, e *entry) {
	if c == nil || c.state != pending {
		return
	}
	if holder := t.nonces[e.Nonce]; holder != nil && holder.state == abandoned {
		t.loseToOwnClaim(s, c, holder)
		return
	}
	if e.Released && e.Winner == t.config.Self {
		// This node released the key before the request came.
		c.awaitsRelease = true
		return
	}
	s.decide(c, Decision{
		Winner:        e.Winner,
		WinnerRequest: e.Request,
		Recorded:      e.Recorded,
	})
}

func (t *Table) loseToOwnClaim(s *stream, c, holder *claim) {
	if holder.confirmedFirst {
		c.awaitsRelease = true
		return
	}
	t.counts.Unsettled++
	s.decide(c, Decision{Unsettled: true})
}

func (s *stream) decide(c *claim, d Decision) {
	d.Request = c.request
	s.pending = append(s.pending, pendingDecision{
		Decision: d,
		claim:    c,
	})
}

func (t *Table) applyOutcome(r record) {
	e, ok := t.entries[key{
		account: r.Account,
		key:     r.Key,
	}]
	if !ok || e.Nonce != r.Nonce || e.Released || e.Recorded != nil {
		return
	}
	e.Recorded = &messenger.RecordedOutcome{
		Outcome:     r.Outcome,
		Status:      r.Status,
		Body:        r.Body,
		BodyOmitted: r.BodyOmitted,
	}
	t.counts.BodiesDropped += t.bodies.add(e)
}

func (t *Table) applyRelease(offset identifier.Offset, r record) {
	e, ok := t.entries[key{
		account: r.Account,
		key:     r.Key,
	}]
	if !ok || e.Nonce != r.Nonce || e.Winner != r.Claimant || e.Recorded != nil {
		return
	}
	e.Released = true
	e.ReleasedAt = offset
	if c := t.nonces[r.Nonce]; c != nil && c.state == abandoned {
		t.remove(c)
	}
}
