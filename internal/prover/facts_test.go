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
type facts struct {
	// runs lists when each keyed or named plain call ran.
	runs map[string][]timekeeper.Time
	// noticed is when the cloud announced that it will take a VM away.
	noticed map[identifier.VMID]timekeeper.Time
	// lateWork is the longest time after a notice at which a server was still
	// given new work.
	lateWork   timekeeper.Duration
	verdicts   map[verdictKey]messenger.ChangeVerdict
	objections []string
}

type verdictKey struct {
	node   identifier.VMID
	ticket identifier.Ticket
}

// longestWait bounds the wait of an accepted long request's caller for its
// next token.
const longestWait = 25 * timekeeper.Second

// newWorkBound is the "few seconds" after which a leaving server gets no new
// work.
const newWorkBound = 3 * timekeeper.Second

func newFacts() facts {
	return facts{
		runs:     map[string][]timekeeper.Time{},
		noticed:  map[identifier.VMID]timekeeper.Time{},
		verdicts: map[verdictKey]messenger.ChangeVerdict{},
	}
}

func (f *facts) object(format string, args ...any) {
	f.objections = append(f.objections, fmt.Sprintf(format, args...))
}

func (f *facts) ran(key string, at timekeeper.Time) { f.runs[key] = append(f.runs[key], at) }

// newWork notes that a server was given work.
func (f *facts) newWork(s *server, r identifier.RequestID) {
	since, leaving := f.noticed[s.vm]
	if !leaving {
		return
	}
	late := s.w.now.Sub(since)
	f.lateWork = max(f.lateWork, late)
	if late > newWorkBound {
		f.object("%s got new work (%s) %s after its notice", s.vm, r, late)
	}
}

// judge returns what the run did wrong.
//
// Where every node is dead nobody is left to answer, and what was accepted or
// wanted is not asked for; what ran is judged all the same.
func (w *world) judge() []string {
	if !w.anyNode() {
		w.judgeRuns()
		return w.facts.objections
	}
	for _, c := range w.callers {
		w.judgeCaller(c)
	}
	w.judgeRuns()
	return w.facts.objections
}

func (w *world) anyNode() bool {
	return slices.ContainsFunc(w.nodes, func(n *node) bool { return !n.dead })
}

func (w *world) judgeCaller(c *caller) {
	w.judgeAnswer(c)
	if c.spec.Long && c.accepted != 0 && c.longestWait > longestWait {
		w.facts.object("%s: waited %s for the next token", c.name, c.longestWait)
	}
	finished := len(c.told) > 0 && c.told[len(c.told)-1].outcome == messenger.Done
	switch {
	case c.cancelled:
	case c.spec.Long && c.accepted != 0 && !finished:
		w.facts.object("%s: the accepted long request did not get its answer (%d tokens, told %v)", c.name, len(c.got), c.told)
	case c.spec.Idempotent && !finished:
		w.facts.object("%s: never answered (told %v)", c.name, c.told)
	case len(c.told) == 0 && c.key != "":
		w.facts.object("%s: never told anything", c.name)
	}
	w.judgeNotRun(c)
}

// judgeAnswer checks that what the caller got is one answer to its own prompt,
// each token once and in order.
func (w *world) judgeAnswer(c *caller) {
	prev := promptOf(c.spec.Request)
	for i, t := range c.got {
		if t.prev != prev {
			w.facts.object("%s: token %d does not follow the one before it", c.name, i+1)
			return
		}
		prev = t.self
	}
	if len(c.told) == 0 || c.told[len(c.told)-1].outcome != messenger.Done {
		return
	}
	if want := int(c.spec.MaxTokens); len(c.got) != want {
		w.facts.object("%s: told done with %d of %d tokens", c.name, len(c.got), want)
	}
	if c.spec.MaxTokens == 0 && !c.reply {
		w.facts.object("%s: told done without a reply", c.name)
	}
}

// judgeNotRun checks that what was called not run did not run: not before the
// caller was told, and not later but by a try that it made afterwards.
func (w *world) judgeNotRun(c *caller) {
	if c.spec.Idempotent || len(c.told) == 0 {
		return
	}
	for i, t := range c.told {
		if t.outcome != messenger.NotRun {
			continue
		}
		last := i == len(c.told)-1
		for _, ran := range w.facts.runs[runKey(c.spec)] {
			if !ran.After(t.at) || last && !w.sentElsewhere(c, t.at) {
				w.facts.object("%s was told not_run at %d, and it ran at %d", c.name, t.at-1_000_000, ran-1_000_000)
			}
		}
	}
}

// sentElsewhere reports whether another caller repeated the key after t.
func (w *world) sentElsewhere(c *caller, t timekeeper.Time) bool {
	for _, o := range w.callers {
		if o != c && o.key == c.key && o.account == c.account && o.lastSent().After(t) {
			return true
		}
	}
	return false
}

func (c *caller) lastSent() timekeeper.Time { return c.spec.Received }

// judgeRuns checks that nothing that must not be repeated ran twice.
func (w *world) judgeRuns() {
	for _, c := range w.callers {
		if c.spec.Idempotent || c.spec.Service != "booking" {
			continue
		}
		runs := w.facts.runs[runKey(c.spec)]
		if len(runs) > 1 {
			w.facts.object("%s ran %d times", runKey(c.spec), len(runs))
		}
		if c.reply && len(runs) == 0 {
			w.facts.object("%s: told done, but it never ran", c.name)
		}
	}
}
