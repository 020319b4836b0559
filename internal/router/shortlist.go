package router

import (
	"math/rand/v2"
	"strconv"
)

// entry is one scored candidate.
type entry struct {
	index     int
	score     float64
	predicted span
}

// shortlist keeps the few best candidates, best first, without allocation.
type shortlist struct {
	limit   int
	entries [most]entry
	count   int
}

// offer puts e in its place, or drops it when it is not among the best.
func (l *shortlist) offer(e entry) {
	at := l.count
	for at > 0 && l.entries[at-1].score > e.score {
		at--
	}
	if at >= l.limit {
		return
	}
	l.count = min(l.count+1, l.limit)
	copy(l.entries[at+1:l.count], l.entries[at:l.count-1])
	l.entries[at] = e
}

// draw picks at random among the entries near the best score.
//
// Nodes that share one stale picture would otherwise all send their next
// requests to the same server, which is flooded until the next report shows
// it. A draw among near-equals costs the tolerance at most.
func (l *shortlist) draw(r Rules, rng *rand.Rand) entry {
	if !r.Spread {
		return l.entries[0]
	}
	return l.entries[rng.IntN(l.near())]
}

// near counts the entries within the tolerance of the best.
func (l *shortlist) near() int {
	best := l.entries[0].score
	bound := best + max(best, -best)*tolerance + slack
	n := 1
	for n < l.count && l.entries[n].score <= bound {
		n++
	}
	return n
}

// explain tells the choice in a line for operators.
func explain(c *Candidate, e entry, l *shortlist, count int, t tier) string {
	var buf [160]byte
	b := append(buf[:0], "score="...)
	b = strconv.AppendFloat(b, e.score, 'f', 1, 64)
	b = append(b, " best="...)
	b = strconv.AppendFloat(b, l.entries[0].score, 'f', 1, 64)
	b = append(b, " near="...)
	b = strconv.AppendInt(b, int64(l.near()), 10)
	b = append(b, " of="...)
	b = strconv.AppendInt(b, int64(count), 10)
	b = append(b, " own="...)
	b = strconv.AppendInt(b, int64(c.OwnInFlight), 10)
	b = append(b, " prefix="...)
	b = strconv.AppendInt(b, int64(c.PrefixHit), 10)
	switch t {
	case tierAvoidedZone:
		b = append(b, " only=avoided_zone"...)
	case tierDoubtful:
		b = append(b, " only=doubtful"...)
	}
	return string(b)
}
