package claimer

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

type claimState int

const (
	pending claimState = iota
	won
	// abandoned: the request will not be sent under this claim. If the claim holds its
	// key, it is released.
	abandoned
	removed
)

// claim is a claim of this node.
type claim struct {
	request identifier.RequestID
	id      key
	nonce   identifier.Nonce
	window  timekeeper.Duration
	seen    identifier.Offset
	stream  identifier.LogStream
	began   timekeeper.Time
	state   claimState
	// viewHasGap reports that records may have expired unread since began.
	viewHasGap bool
	// confirmedFirst reports that the claim was read back in time as the first of its
	// key, with no gap before it.
	confirmedFirst bool
	// awaitsRelease reports that the claim lost to one that this node abandoned: it is
	// appended again once that one is released.
	awaitsRelease bool
	appendedAt    timekeeper.Time
}

func (c *claim) data(self identifier.VMID) []byte {
	return record{
		Kind:     claimKind,
		Account:  c.id.account,
		Key:      c.id.key,
		Request:  c.request,
		Claimant: self,
		Nonce:    c.nonce,
		Window:   c.window,
		Seen:     c.seen,
	}.encode()
}

// Begin starts a claim of a key and returns the record to append. The nonce must be
// fresh. An earlier pending claim for the same request is abandoned. Its error is a
// *WindowTooLongError, a *LogUnavailableError or a *TableFullError.
func (t *Table) Begin(now timekeeper.Time, request identifier.RequestID, account identifier.AccountID,
	idempotencyKey identifier.IdempotencyKey, nonce identifier.Nonce, window timekeeper.Duration) (identifier.LogStream, []byte, error) {
	if window > t.config.maxWindow() {
		return "", nil, &WindowTooLongError{
			Window:    window,
			Retention: t.config.Retention,
		}
	}
	if stream := Stream(account, idempotencyKey, t.config.Partitions); t.LogUnavailable(now, stream) {
		return "", nil, &LogUnavailableError{Stream: stream}
	}
	t.removeExpiredClaims(now)
	if t.Full() {
		t.counts.Refused++
		return "", nil, &TableFullError{MaxEntries: t.config.MaxEntries}
	}
	t.Drop(request)
	c := &claim{
		request: request,
		id: key{
			account: account,
			key:     idempotencyKey,
		},
		nonce:  nonce,
		window: window,
		stream: Stream(account, idempotencyKey, t.config.Partitions),
		began:  now,
	}
	c.seen = t.nextOffset(c.stream)
	t.ownClaims = append(t.ownClaims, c)
	t.nonces[nonce] = c
	t.active[request] = c
	return c.stream, c.data(t.config.Self), nil
}

// nextOffset returns the offset of the next record to read from a stream.
func (t *Table) nextOffset(name identifier.LogStream) identifier.Offset {
	return t.streams[name].position.Next()
}

// RepeatAppend returns the record of a pending claim, with the same nonce, to repeat an
// append that failed or was not answered.
func (t *Table) RepeatAppend(request identifier.RequestID) (Append, bool) {
	c, ok := t.active[request]
	if !ok || c.state != pending {
		return Append{}, false
	}
	return Append{
		Stream: c.stream,
		Data:   c.data(t.config.Self),
	}, true
}

// Nonce returns the nonce of the claim that a request won, for its outcome record.
func (t *Table) Nonce(request identifier.RequestID) (identifier.Nonce, bool) {
	c, ok := t.active[request]
	if !ok || c.state != won {
		return "", false
	}
	return c.nonce, true
}

// Drop ends the use of a claim. A pending claim is abandoned: it never wins, even if
// its append is read later, and is then released. A claim that was won keeps its key.
func (t *Table) Drop(request identifier.RequestID) {
	c, ok := t.active[request]
	if !ok {
		return
	}
	if t.disabled.ignoreDrop {
		return
	}
	delete(t.active, request)
	switch c.state {
	case pending:
		c.state = abandoned
	case won:
		t.remove(c)
	}
}

// Release ends a claim, won or not, whose request did not run and will not: no byte was
// sent, or the backend server answered that it did not run. The key becomes free for
// later claims.
func (t *Table) Release(request identifier.RequestID) {
	c, ok := t.active[request]
	if !ok {
		return
	}
	delete(t.active, request)
	if c.state != removed {
		c.state = abandoned
	}
}

func (t *Table) remove(c *claim) {
	c.state = removed
	delete(t.nonces, c.nonce)
	if t.active[c.request] == c {
		delete(t.active, c.request)
	}
}

// removeExpiredClaims removes claims that are no longer pending and whose window passed
// more than expiryMargin ago. If the append of such a claim takes effect later still,
// the claim holds its key for a window and no node sends the request.
func (t *Table) removeExpiredClaims(now timekeeper.Time) {
	kept := t.ownClaims[:0]
	for _, c := range t.ownClaims {
		if c.state != pending && now.Sub(c.began) > c.window+expiryMargin {
			t.remove(c)
		}
		if c.state != removed {
			kept = append(kept, c)
		}
	}
	clear(t.ownClaims[len(kept):])
	t.ownClaims = kept
}

// Overdue lists the requests whose claims have been pending for DecisionTimeout, oldest
// first. The caller repeats their appends with RepeatAppend, or drops them.
func (t *Table) Overdue(now timekeeper.Time) []identifier.RequestID {
	var out []identifier.RequestID
	for _, c := range t.ownClaims {
		if c.state == pending && now.Sub(c.began) >= t.config.DecisionTimeout {
			out = append(out, c.request)
		}
	}
	return out
}

// PendingAppends returns the records that the table itself needs appended: releases of
// abandoned claims that hold their keys, claims that waited for such a release, and
// clock records while a full table has expired entries.
func (t *Table) PendingAppends(now timekeeper.Time) []Append {
	t.removeExpiredClaims(now)
	var out []Append
	for _, c := range t.ownClaims {
		if c.appendedAt != 0 && now.Sub(c.appendedAt) < t.config.AppendInterval {
			continue
		}
		if data, ok := t.recordToAppend(c); ok {
			c.appendedAt = now
			out = append(out, Append{
				Stream: c.stream,
				Data:   data,
			})
		}
	}
	return append(out, t.clockRecords(now)...)
}

// recordToAppend returns the record that a claim needs appended. Only a confirmed first
// claim is released: otherwise other nodes may know an earlier claim that ran, and a
// third node that started late would consider the key free and run it again.
func (t *Table) recordToAppend(c *claim) ([]byte, bool) {
	e, ok := t.entries[c.id]
	holds := ok && e.Nonce == c.nonce && !e.Released && e.Recorded == nil
	switch {
	case c.state == abandoned && holds && (c.confirmedFirst || t.disabled.releaseBlind):
		return record{
			Kind:     releaseKind,
			Account:  c.id.account,
			Key:      c.id.key,
			Claimant: t.config.Self,
			Nonce:    c.nonce,
		}.encode(), true
	case c.state == pending && c.awaitsRelease && (!ok || e.Released):
		c.seen = t.nextOffset(c.stream)
		return c.data(t.config.Self), true
	}
	return nil, false
}

// clockRecords returns clock records for the streams whose oldest entry is overdue
// while the table is full. Entries expire by the append times of later records; if all
// nodes refused claims, no record would follow and the tables would stay full.
func (t *Table) clockRecords(now timekeeper.Time) []Append {
	if !t.Full() {
		return nil
	}
	var out []Append
	for _, name := range t.Streams() {
		s := t.streams[name]
		if len(s.expiry) == 0 || now.Sub(s.clockAppendedAt) < t.config.AppendInterval {
			continue
		}
		oldest := s.expiry[0]
		if now.Sub(oldest.readAt) < oldest.window+expiryMargin {
			continue
		}
		s.clockAppendedAt = now
		out = append(out, Append{
			Stream: name,
			Data:   record{Kind: clockKind}.encode(),
		})
	}
	return out
}
