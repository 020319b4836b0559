package prover

import (
	"fmt"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// observations holds what callers, backend servers and operators observed in a
// run, and the violations found so far.
type observations struct {
	// runs holds the times at which each plain call ran, by runKey.
	runs map[string][]timekeeper.Time
	// noticedAt holds the time of each VM's reclaim notice.
	noticedAt map[identifier.VMID]timekeeper.Time
	// maxWorkDelay is the longest time after its notice at which a server received
	// new work.
	maxWorkDelay timekeeper.Duration
	verdicts     map[verdictKey]messenger.ChangeVerdict
	violations   []string
}

type verdictKey struct {
	node   identifier.VMID
	ticket identifier.Ticket
}

// maxTokenWait bounds the time between tokens of an accepted long request.
const maxTokenWait = 25 * timekeeper.Second

// maxNewWorkDelay is the time after its notice from which a server must receive no
// new work.
const maxNewWorkDelay = 3 * timekeeper.Second

func newObservations() observations {
	return observations{
		runs:      map[string][]timekeeper.Time{},
		noticedAt: map[identifier.VMID]timekeeper.Time{},
		verdicts:  map[verdictKey]messenger.ChangeVerdict{},
	}
}

func (f *observations) violatef(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

func (f *observations) recordRun(key string, at timekeeper.Time) {
	f.runs[key] = append(f.runs[key], at)
}

// recordNewWork records that a server received new work, and reports a violation
// if that was more than maxNewWorkDelay after its notice.
func (f *observations) recordNewWork(s *server, r identifier.RequestID) {
	since, leaving := f.noticedAt[s.vm]
	if !leaving {
		return
	}
	late := s.cluster.now.Sub(since)
	f.maxWorkDelay = max(f.maxWorkDelay, late)
	if late > maxNewWorkDelay {
		f.violatef("%s got new work (%s) %s after its notice", s.vm, r, late)
	}
}

// verify checks the whole run and returns its violations.
//
// If all nodes are dead, no answers are required, but verifyRuns still applies.
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
		cl.observed.violatef("%s: waited %s for the next token", c.name, c.longestWait)
	}
	finished := len(c.finalAnswers) > 0 && c.finalAnswers[len(c.finalAnswers)-1].outcome == messenger.Done
	switch {
	case c.cancelled:
	case c.spec.Long && c.acceptedAt != 0 && !finished:
		cl.observed.violatef("%s: the accepted long request did not get its answer (%d tokens, told %v)", c.name, len(c.tokens), c.finalAnswers)
	case c.spec.Idempotent && !finished:
		cl.observed.violatef("%s: never answered (told %v)", c.name, c.finalAnswers)
	case len(c.finalAnswers) == 0 && c.key != "":
		cl.observed.violatef("%s: never told anything", c.name)
	}
	cl.verifyNotRun(c)
}

// verifyAnswer checks that the caller received the tokens of a single answer to its
// own prompt, in order and without duplicates.
func (cl *cluster) verifyAnswer(c *caller) {
	prev := promptHash(c.spec.Request)
	for i, t := range c.tokens {
		if t.prev != prev {
			cl.observed.violatef("%s: token %d does not follow the one before it", c.name, i+1)
			return
		}
		prev = t.self
	}
	if len(c.finalAnswers) == 0 || c.finalAnswers[len(c.finalAnswers)-1].outcome != messenger.Done {
		return
	}
	if want := int(c.spec.MaxTokens); len(c.tokens) != want {
		cl.observed.violatef("%s: told done with %d of %d tokens", c.name, len(c.tokens), want)
	}
	if c.spec.MaxTokens == 0 && !c.replied {
		cl.observed.violatef("%s: told done without a reply", c.name)
	}
}

// verifyNotRun checks that a request reported as not run did not run before the
// report, and ran later only if a caller repeated it.
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
				cl.observed.violatef("%s was told not_run at %d, and it ran at %d", c.name, t.at-1_000_000, ran-1_000_000)
			}
		}
	}
}

// repeatedByOther reports whether another caller sent the same key after t.
func (cl *cluster) repeatedByOther(c *caller, t timekeeper.Time) bool {
	for _, o := range cl.callers {
		if o != c && o.key == c.key && o.account == c.account && o.lastSent().After(t) {
			return true
		}
	}
	return false
}

func (c *caller) lastSent() timekeeper.Time { return c.spec.Received }

// verifyRuns checks that no booking ran twice, and that every completed one ran.
func (cl *cluster) verifyRuns() {
	for _, c := range cl.callers {
		if c.spec.Idempotent || c.spec.Service != "booking" {
			continue
		}
		runs := cl.observed.runs[runKey(c.spec)]
		if len(runs) > 1 {
			cl.observed.violatef("%s ran %d times", runKey(c.spec), len(runs))
		}
		if c.replied && len(runs) == 0 {
			cl.observed.violatef("%s: told done, but it never ran", c.name)
		}
	}
}
