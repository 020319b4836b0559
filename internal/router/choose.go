package router

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// reclaimsPerHour is the assumed reclaim rate of a reclaimable VM.
	reclaimsPerHour = 0.2
	// missCost is the cost in milliseconds of a certain miss of a target.
	missCost = 2000.0
)

// tier groups candidates by preference. A tier is used only if all lower ones are
// empty.
type tier int

const (
	tierGood tier = iota
	tierAvoidedZone
	tierDoubtful
	tierExcluded
)

func tierOf(j *Job, c *Candidate, r Rules) tier {
	switch {
	case c.Leaving:
		return tierExcluded
	case r.Suspicion && c.Suspect:
		return tierDoubtful
	case r.Avoid && j.AvoidServers[c.Server]:
		return tierDoubtful
	case r.Avoid && j.AvoidZones[c.Zone]:
		return tierAvoidedZone
	}
	return tierGood
}

// Choose returns the best server for the job, or false if no candidate is usable.
func Choose(now timekeeper.Time, j Job, candidates []Candidate, r Rules, rng *rand.Rand) (Choice, bool) {
	best := bestTier(&j, candidates, r)
	if best == tierExcluded {
		return Choice{}, false
	}
	// A random start avoids that all nodes prefer the same one of equal servers.
	first := 0
	if r.Spread {
		first = rng.IntN(len(candidates))
	}
	timeToDeadline := timeLeft(now, &j)
	fewest := minInFlight(&j, candidates, r, best)
	winner := scored{score: math.Inf(1)}
	for i := range candidates {
		index := (first + i) % len(candidates)
		if tierOf(&j, &candidates[index], r) != best {
			continue
		}
		c := candidates[index]
		if c.OwnInFlight > fewest {
			c.PrefixHit = 0
		}
		s := predict(&j, &c, r)
		if cost := score(&j, &c, r, s, timeToDeadline); cost < winner.score {
			winner = scored{
				index:     index,
				score:     cost,
				predicted: s,
			}
		}
	}
	return Choice{
		Server:      candidates[winner.index].Server,
		Predicted:   winner.predicted.rounded(),
		Explanation: explain(winner, &candidates[winner.index], best),
	}, true
}

// minInFlight returns the lowest number of this node's requests on a server of the
// tier. Cached prefixes count only on servers with that number: they save a fraction of
// a second, but would gather the requests about one document on a busy server, where
// all of them are lost if it is reclaimed.
func minInFlight(j *Job, candidates []Candidate, r Rules, t tier) int {
	fewest := math.MaxInt
	for i := range candidates {
		if tierOf(j, &candidates[i], r) == t {
			fewest = min(fewest, candidates[i].OwnInFlight)
		}
	}
	return fewest
}

// scored is a candidate with its cost in milliseconds.
type scored struct {
	index     int
	score     float64
	predicted estimate
}

// explain describes the choice for operators.
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

func bestTier(j *Job, candidates []Candidate, r Rules) tier {
	best := tierExcluded
	for i := range candidates {
		best = min(best, tierOf(j, &candidates[i], r))
	}
	return best
}

// score returns the cost of the candidate in milliseconds.
func score(j *Job, c *Candidate, r Rules, s estimate, timeToDeadline timekeeper.Duration) float64 {
	cost := s.first
	if r.Completion {
		cost += completionWeight(j.Priority) * s.total
	}
	if r.Target {
		cost += missCost * lateness(s, j.Target, timeToDeadline)
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

// timeLeft returns the time to the job's deadline, at least a millisecond, or zero if
// it has none.
func timeLeft(now timekeeper.Time, j *Job) timekeeper.Duration {
	if j.Deadline == 0 || j.Deadline == timekeeper.Never {
		return 0
	}
	return max(j.Deadline.Sub(now), timekeeper.Millisecond)
}

// lateness rises linearly from 0 at 0.8 times a target to 1 at 1.5 times the target,
// and returns the highest value of all targets. The deadline is treated as a target for
// the completion.
func lateness(s estimate, t catalog.Target, timeToDeadline timekeeper.Duration) float64 {
	return max(overrun(s.first, t.FirstToken), overrun(s.total, t.Completion), overrun(s.total, timeToDeadline))
}

func overrun(ms float64, target timekeeper.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return min(max((ms/float64(target)-0.8)/0.7, 0), 1)
}

// expectedLoss is the probability that the VM is reclaimed during the job times the
// work that would be lost: the prompt's prefill and half of the answer.
func expectedLoss(j *Job, c *Candidate, s estimate) float64 {
	hours := s.total / float64(timekeeper.Hour)
	chance := 1 - math.Exp(-hours*reclaimsPerHour)
	lost := (s.total - s.first) / 2
	if c.PrefillPerSecond > 0 {
		lost += float64(j.PromptTokens) / c.PrefillPerSecond * 1000
	}
	return chance * lost
}
