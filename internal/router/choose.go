package router

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// reclaimsPerHour is the assumed rate at which a reclaimable VM is taken.
	reclaimsPerHour = 0.2
	// missCost is the cost in milliseconds of a sure miss of a target.
	missCost = 2000.0
)

// tier groups candidates: a later tier is used only where all earlier ones
// are empty.
type tier int

const (
	tierGood tier = iota
	tierAvoidedZone
	tierDoubtful
	tierNever
)

func tierOf(j *Job, c *Candidate, r Rules) tier {
	switch {
	case c.Leaving:
		return tierNever
	case r.Suspicion && c.Suspect:
		return tierDoubtful
	case r.Avoid && j.AvoidServers[c.Server]:
		return tierDoubtful
	case r.Avoid && j.AvoidZones[c.Zone]:
		return tierAvoidedZone
	}
	return tierGood
}

// Choose picks the server for the job, or reports that there is none.
func Choose(now timekeeper.Time, j Job, cs []Candidate, r Rules, rng *rand.Rand) (Choice, bool) {
	best := bestTier(&j, cs, r)
	if best == tierNever {
		return Choice{}, false
	}
	// Nodes that all begin with the same server would all send it the first
	// request after a quiet moment.
	first := 0
	if r.Spread {
		first = rng.IntN(len(cs))
	}
	left := timeLeft(now, &j)
	least := leastInFlight(&j, cs, r, best)
	winner := scored{score: math.Inf(1)}
	for i := range cs {
		k := (first + i) % len(cs)
		if tierOf(&j, &cs[k], r) != best {
			continue
		}
		c := cs[k]
		if c.OwnInFlight > least {
			c.PrefixHit = 0
		}
		s := predict(&j, &c, r)
		if cost := score(&j, &c, r, s, left); cost < winner.score {
			winner = scored{
				index:     k,
				score:     cost,
				predicted: s,
			}
		}
	}
	return Choice{
		Server:      cs[winner.index].Server,
		Predicted:   winner.predicted.rounded(),
		Explanation: explain(winner, &cs[winner.index], best),
	}, true
}

// leastInFlight returns the fewest of this node's requests on a server of the
// tier. Only there do cached prefixes count: they save a part of a second, and
// the requests about one document that follow them to a busier server are lost
// together when it goes.
func leastInFlight(j *Job, cs []Candidate, r Rules, t tier) int {
	least := math.MaxInt
	for i := range cs {
		if tierOf(j, &cs[i], r) == t {
			least = min(least, cs[i].OwnInFlight)
		}
	}
	return least
}

// scored is a candidate with its cost in milliseconds.
type scored struct {
	index     int
	score     float64
	predicted span
}

// explain tells the choice in a line for operators.
func explain(s scored, c *Candidate, t tier) string {
	var buf [160]byte
	b := append(buf[:0], "score="...)
	b = strconv.AppendFloat(b, s.score, 'f', 1, 64)
	b = append(b, " own="...)
	b = strconv.AppendInt(b, int64(c.OwnInFlight), 10)
	b = append(b, " reported="...)
	b = strconv.AppendInt(b, int64(c.Load.Running+c.Load.Waiting), 10)
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

func bestTier(j *Job, cs []Candidate, r Rules) tier {
	best := tierNever
	for i := range cs {
		best = min(best, tierOf(j, &cs[i], r))
	}
	return best
}

// score is the cost of the candidate in milliseconds.
func score(j *Job, c *Candidate, r Rules, s span, left timekeeper.Duration) float64 {
	cost := s.first
	if r.Completion {
		cost += completionWeight(j.Priority) * s.total
	}
	if r.Target {
		cost += missCost * lateness(s, j.Target, left)
	}
	if r.ReclaimRisk && c.Market == catalog.Reclaimable {
		cost += expectedLoss(j, c, s)
	}
	return cost
}

func completionWeight(p catalog.Priority) float64 {
	switch {
	case p >= catalog.Interactive:
		return 0.2
	case p == catalog.Standard:
		return 0.5
	default:
		return 1
	}
}

// timeLeft is the time to the job's deadline, at least a millisecond, or zero
// for none.
func timeLeft(now timekeeper.Time, j *Job) timekeeper.Duration {
	if j.Deadline == 0 || j.Deadline == timekeeper.Never {
		return 0
	}
	return max(j.Deadline.Sub(now), timekeeper.Millisecond)
}

// lateness rises from 0 at four fifths of a target to 1 at one and a half
// times the target. The deadline counts as one more target.
func lateness(s span, t catalog.Target, left timekeeper.Duration) float64 {
	return max(overrun(s.first, t.FirstToken), overrun(s.total, t.Completion), overrun(s.total, left))
}

func overrun(ms float64, target timekeeper.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return min(max((ms/float64(target)-0.8)/0.7, 0), 1)
}

// expectedLoss is the chance that the VM is taken while the job runs, times
// the work that is lost then: the prompt's prefill and half of the answer.
func expectedLoss(j *Job, c *Candidate, s span) float64 {
	hours := s.total / float64(timekeeper.Hour)
	chance := 1 - math.Exp(-hours*reclaimsPerHour)
	lost := (s.total - s.first) / 2
	if c.PrefillPerSecond > 0 {
		lost += float64(j.PromptTokens) / c.PrefillPerSecond * 1000
	}
	return chance * lost
}
