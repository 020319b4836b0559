package router

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// advantage is the share by which a server must be better than the drawn
	// ones, load aside, to be compared with them.
	advantage = 0.05
	// tie is the share within which two servers count as equally good, load
	// aside.
	tie = 0.01
)

// field is the candidates that one choice is made among: those of one tier.
type field struct {
	now     timekeeper.Time
	job     *Job
	cs      []Candidate
	rules   Rules
	tier    tier
	picture picture
}

// scored is a candidate with its cost in milliseconds.
type scored struct {
	index     int
	score     float64
	predicted span
}

func (f *field) contains(i int) bool { return tierOf(f.job, &f.cs[i], f.rules) == f.tier }

// score predicts and weighs a candidate with the load that it seems to have.
func (f *field) score(i int) scored {
	c := &f.cs[i]
	s := predict(f.now, f.job, c, f.rules, f.picture.load)
	return scored{
		index:     i,
		score:     score(f.job, c, f.rules, s, f.picture),
		predicted: s,
	}
}

// merit weighs a candidate as if it were loaded like the mean: by its cache,
// paces, zone, market and price alone.
func (f *field) merit(i int) float64 {
	c := &f.cs[i]
	s := predictAt(f.job, c, f.rules, f.picture.load, 0)
	return score(f.job, c, f.rules, s, f.picture)
}

// lowest returns the candidate with the lowest score.
func (f *field) lowest() scored {
	best := scored{score: math.Inf(1)}
	for i := range f.cs {
		if !f.contains(i) {
			continue
		}
		if s := f.score(i); s.score < best.score {
			best = s
		}
	}
	return best
}

// draw compares the scores of two candidates drawn at random and of the one
// that is better than all others, load aside, if there is one.
//
// Nodes that share a stale picture of the load would otherwise all send their
// requests to the server that it shows idle, which is flooded until the next
// report shows that. Of two drawn servers the less loaded is taken, so that
// the best-looking of n gets less than two in n of the requests. What makes the third one better does not go stale as load does.
func (f *field) draw(rng *rand.Rand) scored {
	d := f.drawn(rng)
	best := f.score(d.first)
	if s := f.score(d.second); s.score < best.score {
		best = s
	}
	if d.merit < min(f.merit(d.first), f.merit(d.second))*(1-advantage) {
		if s := f.score(d.favourite); s.score < best.score {
			best = s
		}
	}
	return best
}

// draws are the candidates that a draw compares.
type draws struct {
	first     int
	second    int
	favourite int
	merit     float64
}

// drawn draws two candidates, perhaps the same one twice, and the favourite at
// random among those that tie for the best merit. Two different ones would
// give the best of a small pool half of all requests.
func (f *field) drawn(rng *rand.Rand) draws {
	rankA, rankB := rng.IntN(f.picture.count), rng.IntN(f.picture.count)
	d := draws{merit: math.Inf(1)}
	rank, ties := 0, 0
	for i := range f.cs {
		if !f.contains(i) {
			continue
		}
		if rank == rankA {
			d.first = i
		}
		if rank == rankB {
			d.second = i
		}
		rank++
		m := f.merit(i)
		switch {
		case m < d.merit*(1-tie):
			d.favourite, d.merit, ties = i, m, 1
		case m <= d.merit*(1+tie):
			ties++
			if rng.IntN(ties) == 0 {
				d.favourite = i
			}
		}
	}
	return d
}

// explain tells the choice in a line for operators.
func (f *field) explain(s scored) string {
	c := &f.cs[s.index]
	var buf [160]byte
	b := append(buf[:0], "score="...)
	b = strconv.AppendFloat(b, s.score, 'f', 1, 64)
	b = append(b, " of="...)
	b = strconv.AppendInt(b, int64(f.picture.count), 10)
	b = append(b, " own="...)
	b = strconv.AppendInt(b, int64(c.OwnInFlight), 10)
	b = append(b, " reported="...)
	b = strconv.AppendInt(b, int64(c.Load.Running+c.Load.Waiting), 10)
	b = append(b, " prefix="...)
	b = strconv.AppendInt(b, int64(c.PrefixHit), 10)
	switch f.tier {
	case tierAvoidedZone:
		b = append(b, " only=avoided_zone"...)
	case tierDoubtful:
		b = append(b, " only=doubtful"...)
	}
	return string(b)
}
