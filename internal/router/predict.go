package router

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 2 * timekeeper.Second
	// typicalTokens and typicalPrompt stand for requests of other nodes, of
	// which only the number is known.
	typicalTokens = 256
	typicalPrompt = 1024
	// batchSlowdown is the share by which a full batch lengthens the time
	// between tokens.
	batchSlowdown = 0.4
	// plainServiceTime is the time of a call at an idle plain server.
	plainServiceTime = 20.0
	// zoneHopTime is a round trip to another availability zone.
	zoneHopTime = 1.0
	// maxSpan bounds predictions, so that sums cannot overflow.
	maxSpan = float64(24 * timekeeper.Hour)
)

// Predict estimates the job's times on the candidate. Without a report, or
// with an old one, the unseen load counts as nothing; Choose assumes the mean
// of the other candidates instead.
func Predict(now timekeeper.Time, j Job, c Candidate, r Rules) Prediction {
	return predict(now, &j, &c, r, 0).rounded()
}

// span is a prediction in fractional milliseconds.
type span struct {
	first    float64
	perToken float64
	total    float64
}

func (s span) rounded() Prediction {
	return Prediction{
		FirstToken: wholeMillis(s.first),
		PerToken:   wholeMillis(s.perToken),
		Completion: wholeMillis(s.total),
	}
}

func wholeMillis(ms float64) timekeeper.Duration {
	return timekeeper.Duration(math.Ceil(min(ms, maxSpan)))
}

// predict estimates with a prior: the load by others that is assumed where no
// fresh report tells.
func predict(now timekeeper.Time, j *Job, c *Candidate, r Rules, prior float64) span {
	own := 0.0
	if r.OwnInFlight {
		own = float64(c.OwnInFlight)
	}
	ownPrefill := 0.0
	if r.OwnInFlight {
		ownPrefill = float64(c.OwnPrefill)
	}
	return predictAt(j, c, r, own+othersLoad(now, c, r, prior), ownPrefill)
}

// predictAt estimates with a given number of requests present on the server
// and of tokens that it has to read first.
func predictAt(j *Job, c *Candidate, r Rules, present, ownPrefill float64) span {
	slots := float64(max(c.Slots, 1))
	if c.TokensPerSecond <= 0 {
		return predictPlain(present, slots, c, r)
	}
	return predictModel(j, present, ownPrefill, slots, c, r)
}

func predictPlain(present, slots float64, c *Candidate, r Rules) span {
	wait := max(0, present+1-slots) / slots * plainServiceTime
	first := plainServiceTime + wait + hop(c, r)
	if r.Slowdown {
		first += plainServiceTime * batchSlowdown * min(present/slots, 1)
	}
	return span{
		first:    first,
		perToken: 0,
		total:    first,
	}
}

func predictModel(j *Job, present, ownPrefill, slots float64, c *Candidate, r Rules) span {
	perToken := 1000 / c.TokensPerSecond
	if r.Slowdown {
		perToken *= 1 + batchSlowdown*min(present/slots, 1)
	}
	queued := max(0, present+1-slots)
	wait := queued / slots * typicalTokens * perToken * queueShare(j.Priority)
	first := wait + prefillTime(j, queued, ownPrefill, c, r) + perToken + hop(c, r)
	return span{
		first:    first,
		perToken: perToken,
		total:    first + perToken*float64(max(j.MaxTokens-1, 0)),
	}
}

// prefillTime is the time to read the prompts that stand before the job's
// first token: this node's own ones, others' that wait, and the job's less
// what the cache holds.
func prefillTime(j *Job, queued, ownPrefill float64, c *Candidate, r Rules) float64 {
	if c.PrefillPerSecond <= 0 {
		return 0
	}
	own := j.PromptTokens
	if r.Prefix {
		own -= min(c.PrefixHit, j.PromptTokens)
	}
	ahead := queued * typicalPrompt * queueShare(j.Priority)
	return (float64(own) + max(ahead, ownPrefill)) / c.PrefillPerSecond * 1000
}

// queueShare is the part of an engine's queue that stands before a request:
// engines honour priorities.
func queueShare(p catalog.Priority) float64 {
	switch {
	case p >= catalog.Interactive:
		return 0.25
	case p == catalog.Standard:
		return 0.5
	default:
		return 1
	}
}

// othersLoad estimates the requests of other nodes on the server. A report
// includes this node's own requests, which are counted apart. The older the
// report, the closer the estimate comes to the prior.
func othersLoad(now timekeeper.Time, c *Candidate, r Rules, prior float64) float64 {
	if !r.Reports {
		return 0
	}
	if !c.HasLoad {
		return prior
	}
	reported := reportedByOthers(c)
	if !r.AgeReports {
		return reported
	}
	trust := reportTrust(now, c)
	return trust*reported + (1-trust)*prior
}

func reportedByOthers(c *Candidate) float64 {
	return float64(max(c.Load.Running+c.Load.Waiting-c.OwnInFlight, 0))
}

// reportTrust is 1 for a report of this instant and halves with each
// half-life.
func reportTrust(now timekeeper.Time, c *Candidate) float64 {
	age := max(now.Sub(c.Load.AsOf), 0)
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}

func hop(c *Candidate, r Rules) float64 {
	if c.SameZone || !r.ZoneHop {
		return 0
	}
	return zoneHopTime
}
