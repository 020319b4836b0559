package promoter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/assessor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxTallies bounds what is counted apart of one roll-out at one node, and
	// maxProcesses the processes of peers whose counts are kept.
	maxTallies   = 1024
	maxProcesses = 4096
	// leftAfter is the multiple of the predicted time after which a caller that
	// left without an event counts as one whose answer was that late.
	leftAfter = 3
)

// place is what is counted apart: a route's requests at one server of the new
// version, or at all others.
type place struct {
	route  identifier.RouteName
	server identifier.VMID
}

// tally is what became of the requests of a place.
type tally struct {
	sent, answers, failed int
	// running is the requests in flight, waiting those without an answer's beginning.
	running, waiting int
	first, pace      assessor.Histogram
}

// tallies is what this node, and its peers, counted of one roll-out.
type tallies struct {
	own map[place]*tally
	// sent is all requests of the service that this node sent, exposed those of
	// them that went to the new version, and routes the first by their route.
	sent    int
	exposed int
	routes  map[identifier.RouteName]int
	peers   map[process]*report
}

// process is one start of a peer.
type process struct {
	vm          identifier.VMID
	incarnation identifier.Incarnation
}

// report is what a peer's process counted.
type report struct {
	at      timekeeper.Time
	phase   messenger.RolloutPhase
	tallies map[place]tally
}

func newTallies() tallies {
	return tallies{
		own:    map[place]*tally{},
		routes: map[identifier.RouteName]int{},
		peers:  map[process]*report{},
	}
}

// TrackedAttempt is a request at a server while a roll-out of its service is under way. The
// zero value is that of any other request.
type TrackedAttempt struct {
	service identifier.ServiceName
	order   identifier.Offset
	place   place
}

// Exposed reports whether the request is at a server of the new version.
func (t TrackedAttempt) Exposed() bool { return t.place.server != "" }

// RecordSent counts a request that is sent to a server.
func (p *Promoter) RecordSent(service identifier.ServiceName, route identifier.RouteName, s *registrar.Server) TrackedAttempt {
	r := p.rollouts[service]
	if r == nil || r.phase.Final() {
		return TrackedAttempt{}
	}
	t := TrackedAttempt{
		service: service,
		order:   r.first,
		place:   place{route: route},
	}
	r.tallies.sent++
	r.tallies.routes[route]++
	if s.Version == r.order.To {
		t.place.server = s.Server
		r.tallies.exposed++
	}
	if of := r.tallies.at(t.place); of != nil {
		of.sent++
		of.running++
		of.waiting++
	}
	return t
}

func (t *tallies) at(at place) *tally {
	of := t.own[at]
	if of == nil && len(t.own) < maxTallies {
		of = &tally{}
		t.own[at] = of
	}
	return of
}

// tally returns where a request is counted, or nil where it no longer is.
func (p *Promoter) tally(t TrackedAttempt) *tally {
	r := p.rollouts[t.service]
	if r == nil || r.first != t.order {
		return nil
	}
	return r.tallies.own[t.place]
}

// RecordResponseStart counts the first byte or event of an answer, which came after some time where
// another was predicted. An answer counts from then on: were it counted at its end,
// failures, which are short, would come long before the good answers that began with
// them, and each crowd of requests would look bad at first.
func (p *Promoter) RecordResponseStart(t TrackedAttempt, took, predicted timekeeper.Duration) {
	if of := p.tally(t); of != nil {
		of.answers++
		of.waiting = max(of.waiting-1, 0)
		of.first[assessor.BucketOf(float64(took)/float64(max(predicted, 1)))]++
	}
}

// AttemptEnd is how an attempt ended.
type AttemptEnd struct {
	Result messenger.AttemptResult
	// ResponseStarted tells that its answer had begun; else Took is for how long it was
	// waited for, and Predicted for how long it should have been.
	ResponseStarted bool
	Elapsed         timekeeper.Duration
	Predicted       timekeeper.Duration
	// Events is how many events came, and EventsTook the time from the first to
	// the last.
	Events         int
	EventsDuration timekeeper.Duration
	// ServerEnded tells that the server ended, for whatever reason.
	ServerEnded bool
}

// RecordEnd counts the end of an attempt. What did not run, and what ended with its
// server, says nothing of the version.
func (p *Promoter) RecordEnd(t TrackedAttempt, e AttemptEnd) {
	of := p.tally(t)
	if of == nil {
		return
	}
	of.running = max(of.running-1, 0)
	if !e.ResponseStarted {
		of.waiting = max(of.waiting-1, 0)
	}
	if e.Events > 1 {
		gap := float64(e.EventsDuration) / float64(e.Events-1)
		of.pace[assessor.BucketOf(gap/paceUnit)]++
	}
	switch e.Result {
	case messenger.AttemptFailed, messenger.AttemptBroken, messenger.AttemptTimedOut:
		if e.ServerEnded {
			break
		}
		of.failed++
		if !e.ResponseStarted {
			of.answers++
		}
	case "":
		if !e.ResponseStarted && e.Elapsed >= leftAfter*e.Predicted {
			of.first[assessor.BucketOf(float64(e.Elapsed)/float64(max(e.Predicted, 1)))]++
		}
	}
}

// paceUnit is the time between events, in milliseconds, to which paces are set in
// relation. Only the two versions are compared, so that any would do.
const paceUnit = 30.0

// Counts returns what this node counted of roll-outs that are under way, for the node
// that leads them.
func (p *Promoter) Counts() []messenger.VersionCount {
	var out []messenger.VersionCount
	for _, service := range slices.Sorted(maps.Keys(p.rollouts)) {
		r := p.rollouts[service]
		if r.phase.Final() {
			continue
		}
		for _, at := range slices.SortedFunc(maps.Keys(r.tallies.own), comparePlaces) {
			of := r.tallies.own[at]
			out = append(out, messenger.VersionCount{
				Service:         service,
				Order:           r.order.Offset,
				Route:           at.route,
				Server:          at.server,
				Sent:            of.sent,
				Answers:         of.answers,
				Failed:          of.failed,
				FirstEventTimes: slices.Clone(of.first[:]),
				EventIntervals:  slices.Clone(of.pace[:]),
				Running:         of.running,
				Waiting:         of.waiting,
			})
		}
	}
	return out
}

func comparePlaces(a, b place) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.server, b.server))
}

// MergePeerCounts merges what a peer's process counted, and how far it follows the
// roll-outs.
func (p *Promoter) MergePeerCounts(now timekeeper.Time, vm identifier.VMID, i identifier.Incarnation, s messenger.StateUpdate) {
	from := process{
		vm:          vm,
		incarnation: i,
	}
	for _, n := range s.Rollouts {
		r := p.rollouts[n.Order.Service]
		if r == nil || r.order.Offset != n.Order.Offset || r.phase.Final() {
			continue
		}
		if rep := r.tallies.report(from); rep != nil {
			rep.at = now
			rep.phase = n.Phase
		}
	}
	for _, c := range s.Versions {
		r := p.rollouts[c.Service]
		if r == nil || r.order.Offset != c.Order {
			continue
		}
		if rep := r.tallies.report(from); rep != nil {
			rep.take(c)
		}
	}
}

func (t *tallies) report(from process) *report {
	rep := t.peers[from]
	if rep == nil && len(t.peers) < maxProcesses {
		rep = &report{tallies: map[place]tally{}}
		t.peers[from] = rep
	}
	return rep
}

func (rep *report) take(c messenger.VersionCount) {
	at := place{
		route:  c.Route,
		server: c.Server,
	}
	known, ok := rep.tallies[at]
	if !ok && len(rep.tallies) >= maxTallies || c.Sent < known.sent {
		return
	}
	rep.tallies[at] = tally{
		sent:    c.Sent,
		answers: max(c.Answers, known.answers),
		failed:  max(c.Failed, known.failed),
		running: c.Running,
		waiting: c.Waiting,
		first:   assessor.FromCounts(c.FirstEventTimes),
		pace:    assessor.FromCounts(c.EventIntervals),
	}
}

// total returns what all nodes counted, by place.
func (t *tallies) total() map[place]tally {
	sum := make(map[place]tally, len(t.own))
	for at, of := range t.own {
		sum[at] = *of
	}
	for _, rep := range t.peers {
		for at, of := range rep.tallies {
			sum[at] = sum[at].plus(of)
		}
	}
	return sum
}

func (t tally) plus(o tally) tally {
	t.sent += o.sent
	t.answers += o.answers
	t.failed += o.failed
	t.running += o.running
	t.waiting += o.waiting
	for i := range t.first {
		t.first[i] += o.first[i]
		t.pace[i] += o.pace[i]
	}
	return t
}
