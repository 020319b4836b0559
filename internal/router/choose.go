package router

import (
	"math"
	"math/rand/v2"

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
	f := field{
		now:     now,
		job:     &j,
		cs:      cs,
		rules:   r,
		tier:    best,
		picture: survey(now, &j, cs, r, best),
	}
	winner := f.lowest()
	if r.Spread {
		winner = f.draw(rng)
	}
	return Choice{
		Server:    cs[winner.index].Server,
		Predicted: winner.predicted.rounded(),
		Why:       f.explain(winner),
	}, true
}

func bestTier(j *Job, cs []Candidate, r Rules) tier {
	best := tierNever
	for i := range cs {
		best = min(best, tierOf(j, &cs[i], r))
	}
	return best
}

// picture is what the candidates of one tier have in common.
type picture struct {
	count int
	// load is the mean load by others, each report weighed by its trust.
	load float64
	// price is the mean price of an hour.
	price float64
	// left is the time to the job's deadline; zero means that it has none.
	left timekeeper.Duration
}

func survey(now timekeeper.Time, j *Job, cs []Candidate, r Rules, t tier) picture {
	p := picture{left: timeLeft(now, j)}
	var weight, load, priced, price float64
	for i := range cs {
		c := &cs[i]
		if tierOf(j, c, r) != t {
			continue
		}
		p.count++
		if c.HasLoad {
			trust := reportTrust(now, c)
			weight += trust
			load += trust * reportedByOthers(c)
		}
		if c.Price > 0 {
			priced++
			price += float64(c.Price)
		}
	}
	if weight > 0 {
		p.load = load / weight
	}
	if priced > 0 {
		p.price = price / priced
	}
	return p
}

// score is the cost of the candidate in milliseconds.
func score(j *Job, c *Candidate, r Rules, s span, p picture) float64 {
	cost := s.first
	if r.Completion {
		cost += completionWeight(j.Priority) * s.total
	}
	if r.Target {
		cost += missCost * lateness(s, j.Target, p.left)
	}
	if r.ReclaimRisk && c.Market == catalog.Reclaimable {
		cost += expectedLoss(j, c, s)
	}
	if r.Price && p.price > 0 && c.Price > 0 {
		cost += priceWeight(j.Priority) * s.total * (float64(c.Price)/p.price - 1)
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

func priceWeight(p catalog.Priority) float64 {
	switch {
	case p >= catalog.Interactive:
		return 0
	case p == catalog.Standard:
		return 0.05
	default:
		return 0.3
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
