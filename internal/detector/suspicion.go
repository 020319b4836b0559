package detector

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// threshold is the evidence from which a server is suspect.
	threshold = 1.0
	// evidenceHalfLife is the time in which evidence loses half of its
	// weight.
	evidenceHalfLife = 10 * timekeeper.Second
	// goodAnswerFactor is the fraction of the evidence that remains after a
	// good answer.
	goodAnswerFactor = 0.5
	// trustedHoldOffs is the time, in multiples of the last hold-off, for
	// which a server has to stay trusted until its next hold-off is short
	// again.
	trustedHoldOffs = 10
)

type state int

const (
	trusted state = iota
	suspect
	probation
)

// serverRecord is the state of one server.
type serverRecord struct {
	state     state
	updatedAt timekeeper.Time
	lastSeen  timekeeper.Time
	// evidence is the present evidence against a trusted server.
	evidence float64
	// holdOff is the last hold-off, and until its end. Once the server is
	// trusted again, until is the time from which the next hold-off is short
	// again.
	holdOff timekeeper.Duration
	until   timekeeper.Time
	// probing reports whether a probe is in flight, since probeStart.
	// goodProbes is the number of consecutive successful probes.
	probing    bool
	probeStart timekeeper.Time
	goodProbes int
	// byMissedPolls reports whether missed polls made the server suspect.
	byMissedPolls bool
	// streaming reports whether the server has sent first tokens.
	streaming bool
	// latencyRatio is the smoothed binary logarithm of the ratio of observed
	// to predicted latency.
	latencyRatio float64
	samples      int
}

// evictBefore reports whether r should be evicted before other.
func (r *serverRecord) evictBefore(other *serverRecord) bool {
	if (r.state == trusted) != (other.state == trusted) {
		return r.state == trusted
	}
	return r.lastSeen.Before(other.lastSeen)
}

// advance applies the time that has passed since the last update.
func (r *serverRecord) advance(now timekeeper.Time, c Config) {
	elapsed := now.Sub(r.updatedAt)
	if elapsed <= 0 {
		return
	}
	r.updatedAt = now
	r.evidence *= math.Exp2(-float64(elapsed) / float64(evidenceHalfLife))
	if r.state == suspect && !now.Before(r.until) {
		r.endHoldOff(now, c)
	}
	if r.probing && now.Sub(r.probeStart) >= c.ProbeTimeout {
		r.probing = false
	}
}

// endHoldOff starts the probation.
func (r *serverRecord) endHoldOff(now timekeeper.Time, c Config) {
	r.state = probation
	r.probing = false
	r.goodProbes = 0
	if !c.Rules.Probation {
		r.markTrusted(now)
	}
}

// addEvidence applies an observation of a trusted server.
func (r *serverRecord) addEvidence(now timekeeper.Time, c Config, kind Kind, weight float64) {
	if weight == 0 {
		if kind == FirstToken || kind == Completed {
			r.evidence *= goodAnswerFactor
		}
		return
	}
	r.evidence += weight
	if r.evidence < threshold {
		return
	}
	r.byMissedPolls = kind == LoadMissed
	r.markSuspect(now, c)
}

// markSuspect starts a hold-off.
//
// A server that fails every other request would otherwise alternate between
// trusted and suspect, and each alternation costs a caller a retry. As the
// hold-off doubles until the server has stayed trusted for ten times the last
// one, the number of alternations grows only logarithmically with time.
func (r *serverRecord) markSuspect(now timekeeper.Time, c Config) {
	if r.holdOff == 0 || !c.Rules.Growth || r.state == trusted && !now.Before(r.until) {
		r.holdOff = c.HoldOff
	} else {
		r.holdOff = min(2*r.holdOff, c.MaxHoldOff)
	}
	r.state = suspect
	r.until = now.Add(r.holdOff)
	r.probing = false
}

// updateProbe applies an observation of a server on probation.
func (r *serverRecord) updateProbe(now timekeeper.Time, c Config, kind Kind, weight float64) {
	switch {
	case weight > 0 && (kind != LoadMissed || r.byMissedPolls):
		r.markSuspect(now, c)
	case kind == Sent || kind == Started:
		if !r.probing {
			r.probing = true
			r.probeStart = now
		}
	case r.probeSucceeded(kind):
		r.probing = false
		r.goodProbes++
		if r.goodProbes >= c.Probes {
			r.markTrusted(now)
		}
	}
}

// probeSucceeded reports whether an observation without fault ends a probe
// successfully. Tokens of attempts from before the suspicion do not count,
// and neither does the end of a stream whose first token has counted.
func (r *serverRecord) probeSucceeded(kind Kind) bool {
	switch kind {
	case FirstToken:
		return r.probing
	case Completed:
		return r.probing || !r.streaming
	case LoadOK:
		return r.byMissedPolls
	}
	return false
}

func (r *serverRecord) markTrusted(now timekeeper.Time) {
	r.state = trusted
	r.evidence = 0
	r.until = now.Add(trustedHoldOffs * r.holdOff)
}
