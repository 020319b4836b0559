package prover

import (
	"fmt"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// facts is what callers, backend servers and operators saw of a run. The
// checker reads nothing else.
type observations struct {
	// runs lists when each keyed or named plain call ran.
	runs map[string][]timekeeper.Time
	// noticed is when the cloud announced that it will take a VM away.
	noticedAt map[identifier.VMID]timekeeper.Time
	// lateWork is the longest time after a notice at which a server was still
	// given new work.
	maxWorkDelay timekeeper.Duration
	verdicts     map[verdictKey]messenger.ChangeVerdict
	violations   []string
}

type verdictKey struct {
	node   identifier.VMID
	ticket identifier.Ticket
}

// longestWait bounds the wait of an accepted long request's caller for its
// next token.
const maxTokenWait = 25 * timekeeper.Second

// newWorkBound is the "few seconds" after which a leaving server gets no new
// work.
const maxNewWorkDelay = 3 * timekeeper.Second

func newObservations() observations {
	return observations{
		runs:      map[string][]timekeeper.Time{},
		noticedAt: map[identifier.VMID]timekeeper.Time{},
		verdicts:  map[verdictKey]messenger.ChangeVerdict{},
	}
}

func (f *observations) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

func (f *observations) recordRun(key string, at timekeeper.Time) {
	f.runs[key] = append(f.runs[key], at)
}

// newWork notes that a server was given work.
func (f *observations) recordNewWork(s *server, r identifier.RequestID) {
	since, leaving := f.noticedAt[s.vm]
	if !leaving {
		return
	}
	late := s.cluster.now.Sub(since)
	f.maxWorkDelay = max(f.maxWorkDelay, late)
	if late > maxNewWorkDelay {
		f.violate("%s got new work (%s) %s after its notice", s.vm, r, late)
	}
}

// judge returns what the run did wrong.
//
// Where every node is dead nobody is left to answer, and what was accepted or
// wanted is not asked for; what ran is judged all the same.
func (cl *cluster) verify() []string {
	if !cl.anyNodeAlive() {
		cl.verifyRuns()
		return cl.observed.violations
	}
	for _, c := range cl.callers {
		cl.verifyCaller(c)
	}
	cl.verifyRuns()
	return cl.observed.violations
}

func (cl *cluster) anyNodeAlive() bool {
	return slices.ContainsFunc(cl.nodes, func(n *node) bool { return !n.dead })
}

func (cl *cluster) verifyCaller(c *caller) {
	cl.verifyAnswer(c)
	if c.spec.Long && c.acceptedAt != 0 && c.longestWait > maxTokenWait {
		cl.observed.violate("%s: waited %s for the next token", c.name, c.longestWait)
	}
	finished := len(c.finalAnswers) > 0 && c.finalAnswers[len(c.finalAnswers)-1].outcome == messenger.Done
	switch {
	case c.cancelled:
	case c.spec.Long && c.acceptedAt != 0 && !finished:
		cl.observed.violate("%s: the accepted long request did not get its answer (%d tokens, told %v)", c.name, len(c.tokens), c.finalAnswers)
	case c.spec.Idempotent && !finished:
		cl.observed.violate("%s: never answered (told %v)", c.name, c.finalAnswers)
	case len(c.finalAnswers) == 0 && c.key != "":
		cl.observed.violate("%s: never told anything", c.name)
	}
	cl.verifyNotRun(c)
}

// judgeAnswer checks that what the caller got is one answer to its own prompt,
// each token once and in order.
func (cl *cluster) verifyAnswer(c *caller) {
	prev := promptHash(c.spec.Request)
	for i, t := range c.tokens {
		if t.prev != prev {
			cl.observed.violate("%s: token %d does not follow the one before it", c.name, i+1)
			return
		}
		prev = t.self
	}
	if len(c.finalAnswers) == 0 || c.finalAnswers[len(c.finalAnswers)-1].outcome != messenger.Done {
		return
	}
	if want := int(c.spec.MaxTokens); len(c.tokens) != want {
		cl.observed.violate("%s: told done with %d of %d tokens", c.name, len(c.tokens), want)
	}
	if c.spec.MaxTokens == 0 && !c.replied {
		cl.observed.violate("%s: told done without a reply", c.name)
	}
}

// judgeNotRun checks that what was called not run did not run: not before the
// caller was told, and not later but by a try that it made afterwards.
func (cl *cluster) verifyNotRun(c *caller) {
	if c.spec.Idempotent || len(c.finalAnswers) == 0 {
		return
	}
	for i, t := range c.finalAnswers {
		if t.outcome != messenger.NotRun {
			continue
		}
		last := i == len(c.finalAnswers)-1
		for _, ran := range cl.observed.runs[runKey(c.spec)] {
			if !ran.After(t.at) || last && !cl.repeatedByOther(c, t.at) {
				cl.observed.violate("%s was told not_run at %d, and it ran at %d", c.name, t.at-1_000_000, ran-1_000_000)
			}
		}
	}
}

// sentElsewhere reports whether another caller repeated the key after t.
func (cl *cluster) repeatedByOther(c *caller, t timekeeper.Time) bool {
	for _, o := range cl.callers {
		if o != c && o.key == c.key && o.account == c.account && o.lastSent().After(t) {
			return true
		}
	}
	return false
}

func (c *caller) lastSent() timekeeper.Time { return c.spec.Received }

// judgeRuns checks that nothing that must not be repeated ran twice.
func (cl *cluster) verifyRuns() {
	for _, c := range cl.callers {
		if c.spec.Idempotent || c.spec.Service != "booking" {
			continue
		}
		runs := cl.observed.runs[runKey(c.spec)]
		if len(runs) > 1 {
			cl.observed.violate("%s ran %d times", runKey(c.spec), len(runs))
		}
		if c.replied && len(runs) == 0 {
			cl.observed.violate("%s: told done, but it never ran", c.name)
		}
	}
}
