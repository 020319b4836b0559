// Package assessor decides whether the servers of a new version of a service are worse
// than those of the old version, from the results of a part of its requests.
//
// A bad version fails some requests or answers them several times slower: from its
// start or only later, only under load, or on one route only. So each route is tested
// separately for failures, for late first events and for slow streams, always against
// the old version at the same time: a fault of both versions does not condemn the new
// one.
//
// Each test sums the log-likelihood ratios of the answers under a bad version and under
// one like the old. A sum that is kept at zero or above detects a version that turns
// bad late (a CUSUM test). The plain sum measures the evidence for a good one. A fault
// that only one of several servers shows is attributed to that server and not to the
// version.
//
// The package is pure and reads no clock. Nothing in it is safe for concurrent use.
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
	// minEffect is the minimum fraction of the answers that a bad version degrades,
	// among those that the old version would not. effectGrowth raises it in proportion
	// to the old version's rate, because answers reveal little about a small difference
	// while both versions are faulty.
	minEffect    = 0.2
	effectGrowth = 0.5
	// condemnThreshold is the sum at which a test condemns the version. At least
	// e^condemnThreshold answers of a good version pass between two false alarms.
	condemnThreshold = 8.0
	// minSumWithoutWorst is the minimum sum of the servers other than the worst one for
	// a test to condemn the version, if it has several servers.
	minSumWithoutWorst = 1.5
	// minServersForOutlier is the minimum number of servers observed for one of them to
	// count as an outlier, and outlierShare the minimum share of the evidence against
	// the version that this server contributes. An outlier does not prevent trust in
	// the version.
	minServersForOutlier = 3
	outlierShare         = 0.8
	// doubtThreshold is the sum at which a version is not trusted for now.
	doubtThreshold = 4.0
	// trustThreshold is the maximum sum, for a trusted version, of each route with at
	// least majorRouteShare of the service's answers. With too few answers for that, a
	// version is acceptable if each such route is at acceptThreshold or below and their
	// total at acceptTotalThreshold or below.
	trustThreshold       = -1.0
	acceptThreshold      = -0.5
	acceptTotalThreshold = -1.5
	majorRouteShare      = 0.05
	// slowBuckets is the number of buckets beyond the old version's median from which
	// an answer counts as slow: two to almost three times as long.
	slowBuckets = 3
	// longWindow and shortWindow are the numbers of the old version's answers that
	// count: many to estimate a steady rate, few to notice a fault that has just begun.
	longWindow  = 400.0
	shortWindow = 120.0
	// minBaselineAnswers is the number of the old version's answers that a comparison
	// needs, and minLastAnswers the number in the last call for these to count
	// separately. priorAnswers and priorBad are the pseudo-counts of the rate estimate,
	// and minRate is its lower bound.
	minBaselineAnswers = 20.0
	minLastAnswers     = 10.0
	priorAnswers       = 10.0
	priorBad           = 0.5
	minRate            = 0.01
	// maxUncompared is the number of the new version's answers without one of the old
	// version from which a comparison is not with the old version at the same time. One
	// call of Observe then adds at most maxUncomparedEvidence for slow answers: a stall of
	// the nodes or of all servers would have hit both versions. Two calls are less than
	// condemnThreshold.
	maxUncompared         = 20
	maxUncomparedEvidence = 3.8
)

// againstThreshold is the plain sum at which a version is not trusted. Slow answers are
// weaker evidence than failed ones.
var againstThreshold = [numMeasures]float64{
	failures:       0.5,
	firstEvents:    1.5,
	eventIntervals: 1.5,
}

// Sample holds the results of some requests of one route, at the servers of the old
// version or at one server of the new version.
type Sample struct {
	Route identifier.RouteName
	// Server is empty for the old version.
	Server  identifier.VMID
	Answers int
	Failed  int
	// Waiting is the number of requests in flight without an answer.
	Waiting int
	// UnderLoad is set if the server has the load that it would have if the service had
	// this version only.
	UnderLoad bool
	// FirstEventTimes and EventIntervals count answers by bucket; see BucketOf.
	FirstEventTimes Histogram
	EventIntervals  Histogram
}

// Assessor accumulates the evidence about a version. The zero value is not usable; use
// New.
type Assessor struct {
	routes map[identifier.RouteName]*route
}

// New returns an Assessor without evidence.
func New() *Assessor { return &Assessor{routes: map[identifier.RouteName]*route{}} }

// route holds the evidence of one route.
type route struct {
	// long and short are the old version's answers over two windows, and last those of
	// the last call of Observe.
	long, short, last baseline
	// answers counts those of both versions, and waiting the requests at the new
	// version without an answer.
	answers int
	waiting int
	// uncompared counts the new version's answers since the last ones of the old version.
	uncompared int
	// pending are samples of the new version received before the old version had enough
	// answers for a comparison.
	pending []Sample
	tests   [numMeasures]test
}

// measure is a property of answers that is tested.
type measure int

const (
	failures measure = iota
	firstEvents
	eventIntervals
	numMeasures
)

func (m measure) String() string {
	return [...]string{"failures", "late first events", "slow streams"}[m]
}

// test holds the evidence of one route and measure.
type test struct {
	// sum is never negative; sumByServer holds each server's contributions since it was
	// last zero.
	sum         float64
	sumByServer map[identifier.VMID]float64
	// loadedSum is the sum over answers of servers under load only.
	loadedSum float64
	// totalByServer holds the plain sum of each server. answers and bad count all
	// answers.
	totalByServer map[identifier.VMID]float64
	answers       int
	bad           int
	// baselineRate is the old version's rate at the last comparison.
	baselineRate float64
}

// Observe adds the results of requests since the last call. The samples of the old
// version are added first, so that a fault of both versions does not condemn the new
// one.
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
			if s.Answers > 0 {
				r.uncompared = 0
			}
			continue
		}
		r.pending = append(r.pending, s)
		r.waiting += s.Waiting
	}
	for _, r := range a.routes {
		if r.long.answers < minBaselineAnswers {
			continue
		}
		r.addPending()
	}
}

// addPending adds the pending samples to the tests.
func (r *route) addPending() {
	before := r.tests
	limited := r.uncompared >= maxUncompared
	for _, s := range r.pending {
		r.addEvidence(s)
		r.uncompared += s.Answers
	}
	r.pending = nil
	for _, m := range []measure{firstEvents, eventIntervals} {
		if limited {
			r.tests[m].sum = min(r.tests[m].sum, before[m].sum+maxUncomparedEvidence)
		}
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

// addEvidence adds answers of one server of the new version to the tests.
func (r *route) addEvidence(s Sample) {
	firstEventCut := r.long.firstEventTimes.median() + slowBuckets
	intervalCut := r.long.eventIntervals.median() + slowBuckets
	r.tests[failures].add(s, s.Failed, s.Answers, r.baselineRate(func(b *baseline) float64 { return b.failureRate() }))
	r.tests[firstEvents].add(s, s.FirstEventTimes.countFrom(firstEventCut), s.FirstEventTimes.sum(), r.baselineRate(func(b *baseline) float64 { return b.firstEventTimes.rateFrom(firstEventCut) }))
	r.tests[eventIntervals].add(s, s.EventIntervals.countFrom(intervalCut), s.EventIntervals.sum(), r.baselineRate(func(b *baseline) float64 { return b.eventIntervals.rateFrom(intervalCut) }))
}

// baselineRate returns the highest of the old version's rates over the windows. A fault
// that has just begun shows in its last answers first, as in those of the new version.
func (r *route) baselineRate(rateIn func(*baseline) float64) float64 {
	rate := max(rateIn(&r.long), rateIn(&r.short))
	if r.last.answers >= minLastAnswers {
		rate = max(rate, rateIn(&r.last))
	}
	return rate
}

// add adds answers, some of them bad, with the old version's rate of bad answers.
func (t *test) add(s Sample, bad, answers int, rate float64) {
	if answers <= 0 {
		return
	}
	rate = max(rate, minRate)
	badRate := rate + (minEffect+effectGrowth*rate)*(1-rate)
	evidence := float64(bad)*math.Log(badRate/rate) + float64(answers-bad)*math.Log((1-badRate)/(1-rate))
	t.baselineRate = rate
	t.answers += answers
	t.bad += bad
	if t.totalByServer == nil {
		t.totalByServer = map[identifier.VMID]float64{}
	}
	t.totalByServer[s.Server] += evidence
	if s.UnderLoad {
		t.loadedSum = max(t.loadedSum+evidence, 0)
	}
	t.sum += evidence
	if t.sum <= 0 {
		t.sum = 0
		t.sumByServer = nil
		return
	}
	if t.sumByServer == nil {
		t.sumByServer = map[identifier.VMID]float64{}
	}
	t.sumByServer[s.Server] += evidence
}

// condemns reports whether the test shows a bad version, even if all waiting requests
// are counted as good answers.
func (t *test) condemns(waiting, servers int) bool {
	sum := t.sum + float64(waiting)*math.Log(1-minEffect)
	if servers <= 1 {
		return sum >= condemnThreshold
	}
	return sum >= condemnThreshold && t.sum-maxSum(t.sumByServer) >= minSumWithoutWorst
}

// doubts reports whether the test prevents trust in the version. The sum under load is
// not reduced by an outlier, because few servers have been under load.
func (t *test) doubts(m measure) bool {
	return t.sum-t.outlierSum() >= doubtThreshold || t.totalWithoutOutlier() >= againstThreshold[m] || t.loadedSum >= doubtThreshold
}

// outlierSum returns the plain sum of the one server that contributes most of the
// evidence against the version, or zero if there is none.
func (t *test) outlierSum() float64 {
	positiveSum := 0.0
	for _, x := range t.totalByServer {
		positiveSum += max(x, 0)
	}
	worstSum := maxSum(t.totalByServer)
	if len(t.totalByServer) < minServersForOutlier || worstSum < outlierShare*positiveSum {
		return 0
	}
	return max(worstSum, 0)
}

// total returns the plain sum over all answers.
func (t *test) total() float64 {
	sum := 0.0
	for _, x := range t.totalByServer {
		sum += x
	}
	return sum
}

// totalWithoutOutlier returns the plain sum without that of an outlier.
func (t *test) totalWithoutOutlier() float64 { return t.total() - t.outlierSum() }

// maxSum returns the sum of the server with the most evidence against the version.
func maxSum(servers map[identifier.VMID]float64) float64 {
	if len(servers) == 0 {
		return 0
	}
	return slices.MaxFunc(slices.Collect(maps.Values(servers)), cmp.Compare[float64])
}

// Verdict is the result of the tests of the new version.
type Verdict struct {
	// Bad is set if the version is condemned.
	Bad bool
	// Trusted is set if each major route is evidence for the version, and Acceptable if
	// all routes together are and no test is evidence against it.
	Trusted    bool
	Acceptable bool
	// Why describes the test with the most evidence against the version.
	Why string
}

// Verdict returns the verdict on a version with a given number of servers.
func (a *Assessor) Verdict(servers int) Verdict {
	v := Verdict{
		Trusted:    len(a.routes) > 0,
		Acceptable: len(a.routes) > 0,
	}
	total, answers, highest := 0.0, 0, math.Inf(-1)
	for _, r := range a.routes {
		answers += r.answers
	}
	for _, name := range slices.Sorted(maps.Keys(a.routes)) {
		r := a.routes[name]
		failed := r.tests[failures].totalWithoutOutlier()
		total += failed
		if float64(r.answers) >= majorRouteShare*float64(answers) {
			v.Trusted = v.Trusted && failed <= trustThreshold
			v.Acceptable = v.Acceptable && failed <= acceptThreshold
		}
		for m := range r.tests {
			t := &r.tests[m]
			v.Bad = v.Bad || t.condemns(r.waiting, servers)
			if t.doubts(measure(m)) {
				v.Trusted = false
				v.Acceptable = false
			}
			if t.sum > highest {
				highest = t.sum
				v.Why = t.describe(name, measure(m))
			}
		}
	}
	v.Acceptable = v.Acceptable && total <= acceptTotalThreshold
	v.Trusted = v.Trusted && v.Acceptable
	return v
}

func (t *test) describe(route identifier.RouteName, m measure) string {
	return fmt.Sprintf("route=%s measure=%q bad=%d of=%d old_rate=%.3f sum=%.1f all=%.1f",
		route, m, t.bad, t.answers, t.baselineRate, t.sum, t.total())
}
