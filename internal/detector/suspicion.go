package detector

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// threshold is the level of evidence that makes a server suspect.
	threshold = 1.0
	// evidenceHalfLife is the time in which evidence loses half its weight.
	evidenceHalfLife = 10 * timekeeper.Second
	// relief is the part of the evidence that remains after a good answer.
	relief = 0.5
	// calm is the number of last hold-offs that a server must stay trusted
	// for its next hold-off to start small again.
	calm = 10
)

type state int

const (
	trusted state = iota
	suspect
	probation
)

// suspicion is what is known of one server.
type suspicion struct {
	state state
	at    timekeeper.Time
	heard timekeeper.Time
	// level is the evidence against a trusted server.
	level float64
	// holdOff is the last hold-off; until is its end. After trust is earned
	// again, until is the instant from which the next one starts small.
	holdOff timekeeper.Duration
	until   timekeeper.Time
	// probing tells that a probe is out, since probed; good counts the good
	// ones in a row.
	probing bool
	probed  timekeeper.Time
	good    int
	// bySilence tells that missed polls alone made the server suspect.
	bySilence bool
	// streams tells that the server has sent first tokens.
	streams bool
	// ratio is the smoothed logarithm of observed by predicted latency.
	ratio   float64
	samples int
}

// dropBefore orders servers for forgetting.
func (k *suspicion) dropBefore(o *suspicion) bool {
	if (k.state == trusted) != (o.state == trusted) {
		return k.state == trusted
	}
	return k.heard.Before(o.heard)
}

// advance lets time pass.
func (k *suspicion) advance(now timekeeper.Time, c Config) {
	passed := now.Sub(k.at)
	if passed <= 0 {
		return
	}
	k.at = now
	k.level *= math.Exp2(-float64(passed) / float64(evidenceHalfLife))
	if k.state == suspect && !now.Before(k.until) {
		k.release(now, c)
	}
	if k.probing && now.Sub(k.probed) >= c.ProbeTimeout {
		k.probing = false
	}
}

// release ends a hold-off.
func (k *suspicion) release(now timekeeper.Time, c Config) {
	k.state = probation
	k.probing = false
	k.good = 0
	if !c.Rules.Probation {
		k.trust(now)
	}
}

// blame adds evidence against a trusted server.
func (k *suspicion) blame(now timekeeper.Time, c Config, kind Kind, bad float64) {
	if bad == 0 {
		if kind == FirstToken || kind == Completed {
			k.level *= relief
		}
		return
	}
	k.level += bad
	if k.level < threshold {
		return
	}
	k.bySilence = kind == LoadMissed
	k.suspect(now, c)
}

// suspect starts a hold-off.
//
// A server that fails every other request would otherwise be trusted and
// suspected in turn, and each turn costs a caller a retry. With the hold-off
// doubling until the server has stayed good for ten times its last one, the
// number of turns in a time grows only with the logarithm of that time.
func (k *suspicion) suspect(now timekeeper.Time, c Config) {
	if k.holdOff == 0 || !c.Rules.Growth || k.state == trusted && !now.Before(k.until) {
		k.holdOff = c.HoldOff
	} else {
		k.holdOff = min(2*k.holdOff, c.MaxHoldOff)
	}
	k.state = suspect
	k.until = now.Add(k.holdOff)
	k.probing = false
}

// judgeProbe takes the evidence of a server on probation.
func (k *suspicion) judgeProbe(now timekeeper.Time, c Config, kind Kind, bad float64) {
	switch {
	case bad > 0 && (kind != LoadMissed || k.bySilence):
		k.suspect(now, c)
	case kind == Sent || kind == Started:
		if !k.probing {
			k.probing = true
			k.probed = now
		}
	case k.goodProbe(kind):
		k.probing = false
		k.good++
		if k.good >= c.Probes {
			k.trust(now)
		}
	}
}

// goodProbe reports whether an observation without fault ends a probe well.
// The tokens of attempts from before the suspicion do not count, nor does the
// end of a stream whose first token did.
func (k *suspicion) goodProbe(kind Kind) bool {
	switch kind {
	case FirstToken:
		return k.probing
	case Completed:
		return k.probing || !k.streams
	case LoadOK:
		return k.bySilence
	}
	return false
}

func (k *suspicion) trust(now timekeeper.Time) {
	k.state = trusted
	k.level = 0
	k.until = now.Add(calm * k.holdOff)
}
