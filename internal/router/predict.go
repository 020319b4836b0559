package router

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// typicalTokens and typicalPrompt are the assumed sizes of queued requests, of
	// which only the number is known.
	typicalTokens = 256
	typicalPrompt = 1024
	// batchSlowdown is the relative increase of the time between tokens in a full
	// batch.
	batchSlowdown = 0.4
	// plainServiceTime is the duration of a call at an idle plain server, in
	// milliseconds.
	plainServiceTime = 20.0
	// zoneHopTime is the round trip to another availability zone, in milliseconds.
	zoneHopTime = 1.0
	// maxEstimate bounds predictions so that sums cannot overflow.
	maxEstimate = float64(24 * timekeeper.Hour)
)

// Predict estimates the job's times on the candidate from this node's own requests
// there.
//
// Servers' reports of other nodes' requests are ignored. They arrive late, so that each
// node that acts on them repeats the corrections of the others, and a false report
// would attract the requests of all nodes. If each node balances its own requests, the
// total is balanced as well.
func Predict(_ timekeeper.Time, j Job, c Candidate, r Rules) Prediction {
	return predict(&j, &c, r).rounded()
}

// estimate is a prediction in fractional milliseconds.
type estimate struct {
	first    float64
	perToken float64
	total    float64
}

func (s estimate) rounded() Prediction {
	return Prediction{
		FirstToken: wholeMillis(s.first),
		PerToken:   wholeMillis(s.perToken),
		Completion: wholeMillis(s.total),
	}
}

func wholeMillis(ms float64) timekeeper.Duration {
	return timekeeper.Duration(math.Ceil(min(ms, maxEstimate)))
}

func predict(j *Job, c *Candidate, r Rules) estimate {
	running, ownPrefill := 0.0, 0.0
	if r.OwnInFlight {
		running, ownPrefill = float64(c.OwnInFlight), float64(c.OwnPrefill)
	}
	slots := float64(max(c.Slots, 1))
	if c.TokensPerSecond <= 0 {
		return predictPlain(running, slots, c, r)
	}
	return predictModel(j, running, ownPrefill, slots, c, r)
}

func predictPlain(running, slots float64, c *Candidate, r Rules) estimate {
	wait := max(0, running+1-slots) / slots * plainServiceTime
	first := plainServiceTime + wait + zoneHop(c, r)
	if r.Slowdown {
		first += plainServiceTime * batchSlowdown * min(running/slots, 1)
	}
	return estimate{
		first:    first,
		perToken: 0,
		total:    first,
	}
}

func predictModel(j *Job, running, ownPrefill, slots float64, c *Candidate, r Rules) estimate {
	perToken := 1000 / c.TokensPerSecond
	if r.Slowdown {
		perToken *= 1 + batchSlowdown*min(running/slots, 1)
	}
	queued := max(0, running+1-slots)
	wait := queued / slots * typicalTokens * perToken * queueShare(j.Priority)
	first := wait + prefillTime(j, queued, ownPrefill, c, r) + perToken + zoneHop(c, r)
	return estimate{
		first:    first,
		perToken: perToken,
		total:    first + perToken*float64(max(j.MaxTokens-1, 0)),
	}
}

// prefillTime returns the time to read the uncached part of the job's prompt and the
// prompts ahead of it: the larger of this node's unread prompts and the estimated queue.
func prefillTime(j *Job, queued, ownPrefill float64, c *Candidate, r Rules) float64 {
	if c.PrefillPerSecond <= 0 {
		return 0
	}
	uncached := j.PromptTokens
	if r.Prefix {
		uncached -= min(c.PrefixHit, j.PromptTokens)
	}
	queuedTokens := queued * typicalPrompt * queueShare(j.Priority)
	return (float64(uncached) + max(queuedTokens, ownPrefill)) / c.PrefillPerSecond * 1000
}

// queueShare returns the fraction of an engine's queue that runs before a request of
// the given priority.
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

func zoneHop(c *Candidate, r Rules) float64 {
	if c.SameZone || !r.ZoneHop {
		return 0
	}
	return zoneHopTime
}
