package promoter

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/assessor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// leadEvery is the spacing of decisions.
	leadEvery = 100 * timekeeper.Millisecond
	// keepAgain is the spacing of writes whose answer was lost. They may be
	// repeated without harm.
	keepAgain = 1 * timekeeper.Second
	// earliest is the part of its time that a version is watched for at least: some
	// turn bad only after a while.
	earliest = 0.6
	// movePart is the part of its time that is left for the move, within moveLeast
	// and moveMost: the news takes half a second, and what is in flight at the old
	// servers some seconds.
	movePart  = 0.25
	moveLeast = 2 * timekeeper.Second
	moveMost  = 6 * timekeeper.Second
	// lastCall is when before its end a roll-out is completed though some requests
	// are still at the old servers.
	lastCall = 1 * timekeeper.Second
	// spreadTime is how long after the promotion nodes may not have heard of it, and
	// what the new servers make of the whole load has not shown.
	spreadTime = 1500 * timekeeper.Millisecond
	// heardLately is the age up to which what a node reported counts: two shares.
	heardLately = 1200 * timekeeper.Millisecond
	// bearing is the part of the old servers of which there have to be as many new
	// ones before these get all requests.
	bearing = 0.6
	// firstPace and mostPace are the least and the most part of the requests that the
	// new version is to get, as multiples of the users' share.
	firstPace = 0.5
	mostPace  = 3.5
	// loadFrom is the part of the watch after which its servers get the load that they
	// would bear, and overload by how much more.
	loadFrom = 0.6
	overload = 1.1
	// leastRate stands for the requests of a service without any, by the millisecond.
	leastRate = 1e-3
	// paceShare is the part of the users' share that is spent by the time of the
	// decision, below what a node allows at the most.
	paceShare = 0.9
	// rememberFor is how long a node must have known servers of the ordered version,
	// and of no other, for it to be the one that the service has already.
	rememberFor = 2 * timekeeper.Second
)

// claim is what this node knows of the states in the store under its tenure.
type claim struct {
	fence identifier.Fence
	asked timekeeper.Time
	done  bool
	next  timekeeper.Time
}

// lead is the leader's part of a roll-out.
type lead struct {
	// superseded are earlier roll-outs of the service whose end is yet to be written.
	superseded []messenger.Rollout
	// kept is the phase that stands in the store under a fence, and sending what was
	// sent last under a tenure's.
	kept     messenger.RolloutPhase
	fence    identifier.Fence
	sending  messenger.RolloutPhase
	tenure   identifier.Fence
	sent     timekeeper.Time
	promoted timekeeper.Time
	why      string
	// judge is what the answers say, and judged those that it has seen.
	judge  *assessor.Assessor
	judged map[place]tally
}

// Input is what the leader's decisions read.
type Input struct {
	Now      timekeeper.Time
	Fence    identifier.Fence
	NotAfter timekeeper.Time
	// Nodes are the other nodes that live.
	Nodes []identifier.VMID
	// Servers returns the servers of a service.
	Servers func(identifier.ServiceName) []*registrar.Server
}

// Lead returns what the holder of the lease has to do for roll-outs now.
func (p *Promoter) Lead(in Input) []messenger.Effect {
	if len(p.rollouts) == 0 || in.Now.Before(p.claim.next) {
		return nil
	}
	p.claim.next = in.Now.Add(leadEvery)
	if p.claim.fence != in.Fence {
		p.claim = claim{
			fence: in.Fence,
			next:  p.claim.next,
		}
	}
	if !p.claim.done {
		return p.claimNow(in)
	}
	var out []messenger.Effect
	for _, service := range slices.Sorted(maps.Keys(p.rollouts)) {
		out = append(out, p.step(in, p.rollouts[service])...)
	}
	return out
}

// claimNow keeps earlier holders from writing. One that was frozen, or whose write is
// on its way, could otherwise write that a version is completed which this one turns
// back.
func (p *Promoter) claimNow(in Input) []messenger.Effect {
	if p.claim.asked != 0 && in.Now.Sub(p.claim.asked) < keepAgain {
		return nil
	}
	p.claim.asked = in.Now
	return []messenger.Effect{
		messenger.ClaimRollouts{
			Fence:    in.Fence,
			NotAfter: in.NotAfter,
		},
	}
}

// Claimed takes in the states that earlier holders wrote.
func (p *Promoter) Claimed(now timekeeper.Time, e messenger.RolloutsClaimed) {
	if e.Fence != p.claim.fence || e.Result != messenger.LeaderTaskDone {
		return
	}
	p.claim.done = true
	p.Merge(now, e.Rollouts)
	for _, earlier := range e.Rollouts {
		if r := p.rollouts[earlier.Order.Service]; r != nil && earlier.Order.Offset < r.order.Offset {
			r.supersede(earlier)
		}
	}
}

// supersede ends an earlier roll-out of the service that was under way: the operators
// changed their mind, and nobody knows whether its version is good.
func (r *rollout) supersede(earlier messenger.Rollout) {
	known := func(s messenger.Rollout) bool { return s.Order.Offset == earlier.Order.Offset }
	if earlier.Phase.Final() || earlier.Order.To == r.order.To || slices.ContainsFunc(r.lead.superseded, known) {
		return
	}
	r.bar(earlier.Order.To)
	r.lead.superseded = append(r.lead.superseded, earlier)
}

// step decides on one roll-out and writes what was decided.
func (p *Promoter) step(in Input, r *rollout) []messenger.Effect {
	if n := len(r.lead.superseded); n > 0 {
		return p.endSuperseded(in, r)
	}
	want, why := p.decide(in, r)
	if why != "" {
		r.lead.why = why
	}
	if want == messenger.RolloutRolledBack {
		// Nodes hear of it before it is written: nothing is lost by that.
		p.enter(in.Now, r, want, why)
	}
	r.led = in.Now
	_, old := r.split(in.Servers(r.order.Service))
	p.direct(in.Now, r, registrar.CountReady(old))
	if r.lead.kept == want && r.lead.fence == in.Fence {
		return nil
	}
	if r.lead.sending == want && in.Now.Sub(r.lead.sent) < keepAgain {
		return nil
	}
	r.lead.sending = want
	r.lead.tenure = in.Fence
	r.lead.sent = in.Now
	return []messenger.Effect{keep(in, p.tell(in.Now, r), want)}
}

func keep(in Input, r messenger.Rollout, phase messenger.RolloutPhase) messenger.StoreRollout {
	r.Phase = phase
	return messenger.StoreRollout{
		Rollout:  r,
		Fence:    in.Fence,
		NotAfter: in.NotAfter,
	}
}

// endSuperseded tells the operators that an earlier roll-out is over.
func (p *Promoter) endSuperseded(in Input, r *rollout) []messenger.Effect {
	if in.Now.Sub(r.lead.sent) < keepAgain {
		return nil
	}
	r.lead.sent = in.Now
	return []messenger.Effect{keep(in, r.lead.superseded[0], messenger.RolloutRolledBack)}
}

// Stored processes the end of a write.
func (p *Promoter) Stored(now timekeeper.Time, e messenger.RolloutStored) {
	r := p.rollouts[e.Service]
	if r == nil || e.Result != messenger.LeaderTaskDone {
		return
	}
	if n := r.lead.superseded; len(n) > 0 && n[0].Order.Offset == e.Order {
		r.lead.superseded = n[1:]
		r.lead.sent = 0
		return
	}
	if r.order.Offset != e.Order {
		return
	}
	r.lead.kept = e.Phase
	r.lead.fence = e.Fence
	if e.Phase == messenger.RolloutPromoting {
		r.lead.promoted = now
	}
	p.enter(now, r, e.Phase, r.lead.why)
}

// decide returns the phase that a roll-out should be in.
func (p *Promoter) decide(in Input, r *rollout) (messenger.RolloutPhase, string) {
	switch {
	case r.phase.Final():
		return r.phase, ""
	case r.lead.sending == messenger.RolloutCompleted && r.lead.tenure == in.Fence:
		// It may stand in the store already, and then the old servers are gone.
		return messenger.RolloutCompleted, r.lead.why
	case r.order.To == "":
		return messenger.RolloutRolledBack, "the order was withdrawn"
	case r.order.TimeLimit <= 0:
		return messenger.RolloutRolledBack, "the order leaves no time"
	}
	next, old := r.split(in.Servers(r.order.Service))
	ready, before := registrar.CountReady(next), registrar.CountReady(old)
	v := p.judge(r, ready)
	if v.Bad {
		return messenger.RolloutRolledBack, "worse than the old version: " + v.Why
	}
	left := r.order.TimeLimit - in.Now.Sub(r.ordered)
	if r.phase == messenger.RolloutPromoting {
		if left <= lastCall || p.moved(in, r) {
			return messenger.RolloutCompleted, fmt.Sprintf("moved, left=%s", left)
		}
		return r.phase, ""
	}
	if ready > 0 && p.only(in.Now, r) {
		return messenger.RolloutCompleted, "there are servers of this version only"
	}
	bears := ready > 0 && float64(ready) >= bearing*float64(before)
	evidence := fmt.Sprintf("servers=%d before=%d left=%s %s", ready, before, left, v.Why)
	if bears && v.Trusted && in.Now.Sub(r.ordered) >= r.watchTime() {
		return messenger.RolloutPromoting, evidence
	}
	if left > r.moveTime() {
		return messenger.RolloutRunning, evidence
	}
	if bears && v.Acceptable {
		return messenger.RolloutPromoting, evidence
	}
	return messenger.RolloutRolledBack, "not shown to be good in time: " + evidence
}

// only reports whether the service has had servers of the ordered version only.
func (p *Promoter) only(now timekeeper.Time, r *rollout) bool {
	return p.sole(r) && now.Sub(p.versions[r.order.Service][r.order.To]) >= rememberFor
}

// sole reports whether this node has seen no servers of another version.
func (p *Promoter) sole(r *rollout) bool {
	seen := p.versions[r.order.Service]
	_, known := seen[r.order.To]
	return known && len(seen) == 1
}

// moveTime is the time that the move may take, and watchTime how long the version is
// watched before.
func (r *rollout) moveTime() timekeeper.Duration {
	part := timekeeper.Duration(movePart * float64(r.order.TimeLimit))
	return min(max(part, min(moveLeast, r.order.TimeLimit/2)), moveMost)
}

func (r *rollout) watchTime() timekeeper.Duration {
	return min(timekeeper.Duration(earliest*float64(r.order.TimeLimit)), r.order.TimeLimit-r.moveTime())
}

// judge takes in the answers since the last decision and returns what all say.
func (p *Promoter) judge(r *rollout, servers int) assessor.Verdict {
	if r.lead.judge == nil {
		r.lead.judge = assessor.New()
		r.lead.judged = map[place]tally{}
	}
	total := r.tallies.total()
	var samples []assessor.Sample
	for _, at := range slices.SortedFunc(maps.Keys(total), comparePlaces) {
		now, before := total[at], r.lead.judged[at]
		samples = append(samples, assessor.Sample{
			Route:           at.route,
			Server:          at.server,
			Answers:         max(now.answers-before.answers, 0),
			Failed:          max(now.failed-before.failed, 0),
			Waiting:         now.waiting,
			UnderLoad:       r.focus > 0,
			FirstEventTimes: now.first.Minus(before.first),
			EventIntervals:  now.pace.Minus(before.pace),
		})
	}
	r.lead.judged = total
	r.lead.judge.Observe(samples)
	return r.lead.judge.Verdict(servers)
}

// moved reports whether all nodes that live send the old servers nothing any more, and
// nothing of what they sent before is in flight there.
func (p *Promoter) moved(in Input, r *rollout) bool {
	if r.lead.promoted == 0 {
		r.lead.promoted = in.Now
	}
	if in.Now.Sub(r.lead.promoted) < spreadTime {
		return false
	}
	follows := map[identifier.VMID]bool{}
	running := 0
	for at, of := range r.tallies.own {
		if at.server == "" {
			running += of.running
		}
	}
	for from, rep := range r.tallies.peers {
		if in.Now.Sub(rep.at) > heardLately {
			continue
		}
		follows[from.vm] = rep.phase == messenger.RolloutPromoting
		for at, of := range rep.tallies {
			if at.server == "" {
				running += of.running
			}
		}
	}
	if running > 0 {
		return false
	}
	return !slices.ContainsFunc(in.Nodes, func(vm identifier.VMID) bool { return !follows[vm] })
}

// direct says what part of the requests the new version should get now, and at how many
// of its servers. At first a few go to all of them, which shows a version that is bad in
// any plain way, and one server that is at fault by itself. What may be spent beyond that
// is kept for the rest of the watch. Then a few servers at a time get as much as each
// would bear after the move, since some versions are bad only under load.
func (p *Promoter) direct(now timekeeper.Time, r *rollout, old int) {
	age := now.Sub(r.ordered)
	r.pace = firstPace * p.config.Share
	r.focus = 0
	if age < timekeeper.Duration(loadFrom*float64(r.watchTime())) || old == 0 {
		return
	}
	sent, exposed := 0, 0
	for at, of := range r.lead.judged {
		sent += of.sent
		if at.server != "" {
			exposed += of.sent
		}
	}
	left := max(r.watchTime()-age, turnTime)
	rate := max(float64(sent)/float64(max(age, turnTime)), leastRate)
	share := paceShare * p.config.Share
	spare := share*float64(sent) + usableSlack*p.config.Slack - float64(exposed)
	pace := share + spare/(rate*float64(left))
	r.pace = min(max(pace, firstPace*p.config.Share), mostPace*p.config.Share)
	r.focus = max(int(math.Round(r.pace*float64(old)/overload)), 1)
	r.pace = min(r.pace, overload*float64(r.focus)/float64(old))
}
