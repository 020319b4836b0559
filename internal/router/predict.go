package router

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// typicalTokens and typicalPrompt stand for requests that wait, of which
	// only the number is known.
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

// Predict estimates the job's times on the candidate, by this node's own
// requests there.
//
// What servers report of the others' requests is not counted. Reports are late,
// and each node that acts on them corrects what the others have corrected
// already; a server that lies draws the requests of all. Where each node
// balances its own requests, the sum is balanced too.
func Predict(_ timekeeper.Time, j Job, c Candidate, r Rules) Prediction {
	return predict(&j, &c, r).rounded()
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

func predict(j *Job, c *Candidate, r Rules) span {
	present, ownPrefill := 0.0, 0.0
	if r.OwnInFlight {
		present, ownPrefill = float64(c.OwnInFlight), float64(c.OwnPrefill)
	}
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

func hop(c *Candidate, r Rules) float64 {
	if c.SameZone || !r.ZoneHop {
		return 0
	}
	return zoneHopTime
}
