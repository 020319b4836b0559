// Package assessor judges whether the servers of a new version of a service are
// worse than those of the version that they are to replace, by what became of a
// part of its requests.
//
// A bad version fails a part of its answers, or gives them several times slower:
// from its start or only later, only under load, or on one route only. So each
// route is tested by itself, for failures, for late first events and for slow
// streams, and always against the old version at the same time: what hits both
// condemns neither.
//
// Each test adds up the logarithm of how much likelier each answer is of a bad
// version than of the old one. A sum that never goes below zero shows a version
// that becomes bad late (a cumulative sum test), and the plain sum shows how much
// speaks for a good one. What only one of several servers shows is that server's
// fault and not the version's.
//
// Everything is pure: nothing here reads a clock. Nothing is safe for concurrent
// use.
package assessor

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// effect is the part of the answers that a bad version spoils at the least, of
	// those that the old one would not, and effectGrowth how much larger that is
	// taken for a part that the old one spoils: under a fault of both the answers
	// tell little of a small difference.
	effect       = 0.2
	effectGrowth = 0.5
	// condemned is the sum from which on a test condemns the version: e to that
	// many answers of a good one pass between two false alarms, at the least.
	condemned = 8.0
	// besideWorst is how much of it the other servers have to show without the one
	// that shows most, where there is more than one.
	besideWorst = 1.5
	// severalServers is how many have to have been seen for one of them to be left
	// out of what speaks against trusting the version, and almostAll the part of that
	// which it has to have shown.
	severalServers = 3
	almostAll      = 0.8
	// doubted is the sum from which on a version is not trusted for now.
	doubted = 4.0
	// trustedRoute is the sum that speaks for a version on each route that has
	// more than majorRoute of the service's answers. Where there were too few
	// answers for that it is fairRoute on each, and fairAll over all of them.
	trustedRoute = -1.0
	fairRoute    = -0.5
	fairAll      = -1.5
	majorRoute   = 0.05
	// slowSteps is how many steps beyond the old version's median an answer counts
	// as slow: twice to nearly three times as long.
	slowSteps = 3
	// longWindow and shortWindow are the answers of the old version that count: many
	// for a rate that holds still, few for a fault that has just begun.
	longWindow  = 400.0
	shortWindow = 120.0
	// priorAnswers and priorBad stand for answers before the first, and leastRate
	// bounds the rate below.
	// leastOld is the answers of the old version without which nothing is compared,
	// and leastLast those of the last call without which these do not count alone.
	leastOld     = 20.0
	leastLast    = 10.0
	priorAnswers = 10.0
	priorBad     = 0.5
	leastRate    = 0.01
)

// against is the sum over all answers from which on a version is not trusted. That a few
// answers took long says less than that they failed.
var against = [measures]float64{
	failures:    0.5,
	firstEvents: 1.5,
	paces:       1.5,
}

// Sample is what became of a few requests of one route, at the servers of the old
// version or at one of the new.
type Sample struct {
	Route identifier.RouteName
	// Server is empty for the old version.
	Server  identifier.VMID
	Answers int
	Failed  int
	// Waiting is how many requests there have no answer yet.
	Waiting int
	// UnderLoad tells that the server has as much to do as it would have if it were
	// alone with its like.
	UnderLoad bool
	// FirstEventTimes and EventIntervals count answers by their steps, see BucketOf.
	FirstEventTimes Histogram
	EventIntervals  Histogram
}

// Assessor is what the answers so far say of a version. The zero value is not
// usable; use New.
type Assessor struct {
	routes map[identifier.RouteName]*route
}

// New returns an Assessor that has seen no answer.
func New() *Assessor { return &Assessor{routes: map[identifier.RouteName]*route{}} }

// route is the answers of one route.
type route struct {
	// long and short are the old version's answers over two windows, and last those
	// of the last call.
	long, short, last baseline
	// answers is those of both versions, and waiting the requests at the new one
	// that have none yet.
	answers int
	waiting int
	// early are answers of the new version that came before enough of the old one's
	// to compare them with.
	early []Sample
	tests [measures]test
}

// measure names what is tested.
type measure int

const (
	failures measure = iota
	firstEvents
	paces
	measures
)

func (m measure) String() string {
	return [...]string{"failures", "late first events", "slow streams"}[m]
}

// test is the evidence of one route and measure.
type test struct {
	// sum never goes below zero; servers is what each server added to it since it
	// was zero last.
	sum     float64
	servers map[identifier.VMID]float64
	// loaded is the sum over servers under load alone.
	loaded float64
	// all is the sum over all answers of each server, and answers and bad their
	// numbers.
	all     map[identifier.VMID]float64
	answers int
	bad     int
	// rate is that of the old version as it was last compared with.
	rate float64
}

// Observe takes in what became of some requests since the last call. The samples of
// the old version count first, so that a fault of both does not condemn the new one.
func (a *Assessor) Observe(samples []Sample) {
	for _, r := range a.routes {
		r.waiting = 0
		r.last = baseline{}
	}
	for _, s := range samples {
		r := a.route(s.Route)
		r.answers += s.Answers
		if s.Server == "" {
			r.long.add(s, longWindow)
			r.short.add(s, shortWindow)
			r.last.add(s, longWindow)
			continue
		}
		r.early = append(r.early, s)
		r.waiting += s.Waiting
	}
	for _, r := range a.routes {
		if r.long.answers < leastOld {
			continue
		}
		for _, s := range r.early {
			r.weigh(s)
		}
		r.early = nil
	}
}

func (a *Assessor) route(name identifier.RouteName) *route {
	r := a.routes[name]
	if r == nil {
		r = &route{}
		a.routes[name] = r
	}
	return r
}

// weigh takes in answers of a server of the new version.
func (r *route) weigh(s Sample) {
	cut := r.long.first.median() + slowSteps
	paceCut := r.long.pace.median() + slowSteps
	r.tests[failures].add(s, s.Failed, s.Answers, r.rate(func(b *baseline) float64 { return b.failureRate() }))
	r.tests[firstEvents].add(s, s.FirstEventTimes.from(cut), s.FirstEventTimes.sum(), r.rate(func(b *baseline) float64 { return b.first.rateFrom(cut) }))
	r.tests[paces].add(s, s.EventIntervals.from(paceCut), s.EventIntervals.sum(), r.rate(func(b *baseline) float64 { return b.pace.rateFrom(paceCut) }))
}

// rate is the largest of the old version's rates over the windows. A fault that has just
// begun shows in its last answers first, as it does in the new version's.
func (r *route) rate(of func(*baseline) float64) float64 {
	rate := max(of(&r.long), of(&r.short))
	if r.last.answers >= leastLast {
		rate = max(rate, of(&r.last))
	}
	return rate
}

// add takes in answers of which some are bad, where the old version's rate is given.
func (t *test) add(s Sample, bad, answers int, rate float64) {
	if answers <= 0 {
		return
	}
	rate = max(rate, leastRate)
	worse := rate + (effect+effectGrowth*rate)*(1-rate)
	step := float64(bad)*math.Log(worse/rate) + float64(answers-bad)*math.Log((1-worse)/(1-rate))
	t.rate = rate
	t.answers += answers
	t.bad += bad
	if t.all == nil {
		t.all = map[identifier.VMID]float64{}
	}
	t.all[s.Server] += step
	if s.UnderLoad {
		t.loaded = max(t.loaded+step, 0)
	}
	t.sum += step
	if t.sum <= 0 {
		t.sum = 0
		t.servers = nil
		return
	}
	if t.servers == nil {
		t.servers = map[identifier.VMID]float64{}
	}
	t.servers[s.Server] += step
}

// condemns reports whether the test shows a bad version, also if all requests that wait
// got a good answer.
func (t *test) condemns(waiting, servers int) bool {
	sum := t.sum + float64(waiting)*math.Log(1-effect)
	if servers <= 1 {
		return sum >= condemned
	}
	return sum >= condemned && t.sum-worst(t.servers) >= besideWorst
}

// doubts reports whether the test speaks against trusting the version. What a server
// shows under load is not taken for its own fault: few have had any.
func (t *test) doubts(m measure) bool {
	return t.sum-t.fault() >= doubted || t.spokenFor() >= against[m] || t.loaded >= doubted
}

// fault is what one server alone shows, and the others do not.
func (t *test) fault() float64 {
	against := 0.0
	for _, x := range t.all {
		against += max(x, 0)
	}
	most := worst(t.all)
	if len(t.all) < severalServers || most < almostAll*against {
		return 0
	}
	return max(most, 0)
}

// total is the sum over all answers.
func (t *test) total() float64 {
	sum := 0.0
	for _, x := range t.all {
		sum += x
	}
	return sum
}

// spokenFor is the total without what is the fault of one server.
func (t *test) spokenFor() float64 { return t.total() - t.fault() }

// worst is the sum of the server that speaks most against the version.
func worst(servers map[identifier.VMID]float64) float64 {
	if len(servers) == 0 {
		return 0
	}
	return slices.MaxFunc(slices.Collect(maps.Values(servers)), cmp.Compare[float64])
}

// Verdict is what the answers say of the new version.
type Verdict struct {
	// Bad tells that it is condemned.
	Bad bool
	// Trusted tells that each route that counts speaks for it, and Acceptable that all
	// together do and none speaks against it.
	Trusted    bool
	Acceptable bool
	// Why names the test that speaks most against it.
	Why string
}

// Verdict returns what the answers so far say of a version that has so many servers.
func (a *Assessor) Verdict(servers int) Verdict {
	v := Verdict{
		Trusted:    len(a.routes) > 0,
		Acceptable: len(a.routes) > 0,
	}
	all, answers, most := 0.0, 0, math.Inf(-1)
	for _, r := range a.routes {
		answers += r.answers
	}
	for _, name := range slices.Sorted(maps.Keys(a.routes)) {
		r := a.routes[name]
		failed := r.tests[failures].spokenFor()
		all += failed
		if float64(r.answers) >= majorRoute*float64(answers) {
			v.Trusted = v.Trusted && failed <= trustedRoute
			v.Acceptable = v.Acceptable && failed <= fairRoute
		}
		for m := range r.tests {
			t := &r.tests[m]
			v.Bad = v.Bad || t.condemns(r.waiting, servers)
			if t.doubts(measure(m)) {
				v.Trusted = false
				v.Acceptable = false
			}
			if t.sum > most {
				most = t.sum
				v.Why = t.describe(name, measure(m))
			}
		}
	}
	v.Acceptable = v.Acceptable && all <= fairAll
	v.Trusted = v.Trusted && v.Acceptable
	return v
}

func (t *test) describe(route identifier.RouteName, m measure) string {
	return fmt.Sprintf("route=%s measure=%q bad=%d of=%d old_rate=%.3f sum=%.1f all=%.1f",
		route, m, t.bad, t.answers, t.rate, t.sum, t.total())
}
