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
	decisionInterval = 100 * timekeeper.Millisecond
	// storeRetryInterval is the time between writes whose answer was lost. Writes are
	// idempotent.
	storeRetryInterval = 1 * timekeeper.Second
	// minWatchFraction is the minimum fraction of the order's time limit for which a
	// version is watched, because some versions fail only after a while.
	minWatchFraction = 0.6
	// migrationFraction is the fraction of the order's time limit that is reserved for
	// the migration, within minMigrationTime and maxMigrationTime. Updates take half a
	// second to reach all nodes, and attempts at the old servers take some seconds to
	// end.
	migrationFraction = 0.25
	minMigrationTime  = 2 * timekeeper.Second
	maxMigrationTime  = 6 * timekeeper.Second
	// completionReserve is the time before the limit at which a promoted rollout is
	// completed even if requests are still in flight at the old servers.
	completionReserve = 1 * timekeeper.Second
	// propagationTime is the time after the promotion within which some nodes may not
	// know of it, and the new servers have not shown how they handle the full load.
	propagationTime = 1500 * timekeeper.Millisecond
	// maxReportAge is the age up to which a peer's report counts: two update intervals
	// and a margin.
	maxReportAge = 1200 * timekeeper.Millisecond
	// minServerRatio is the minimum ratio of new to old servers for the new ones to
	// receive all requests.
	minServerRatio = 0.6
	// initialShareFactor and maxShareFactor are the minimum and maximum fraction of the
	// requests that goes to the new version, as multiples of Config.Share.
	initialShareFactor = 0.5
	maxShareFactor     = 3.5
	// loadTestStart is the fraction of the watch time after which servers of the new
	// version receive the load that each will have after the migration, times
	// loadTestFactor.
	loadTestStart  = 0.6
	loadTestFactor = 1.1
	// minRatePerMS replaces the request rate of a service without requests.
	minRatePerMS = 1e-3
	// targetShareFactor is the fraction of Config.Share that is to be used by the end
	// of the watch time. It is below the limit that each node enforces.
	targetShareFactor = 0.9
	// soleVersionTime is the time for which a node must have seen servers of the
	// ordered version only to conclude that the service already runs it.
	soleVersionTime = 2 * timekeeper.Second
)

// claim is the state of this node's claim on the rollout states in the store under its
// current fence.
type claim struct {
	fence        identifier.Fence
	requestedAt  timekeeper.Time
	done         bool
	nextDecision timekeeper.Time
}

// leaderState is what only the leader knows of a rollout.
type leaderState struct {
	// superseded are earlier rollouts of the service whose end is not yet written.
	superseded []messenger.Rollout
	// storedPhase is the phase in the store and storedFence the fence it was written
	// under. pendingPhase and pendingFence are those of the last write sent.
	storedPhase  messenger.RolloutPhase
	storedFence  identifier.Fence
	pendingPhase messenger.RolloutPhase
	pendingFence identifier.Fence
	sentAt       timekeeper.Time
	promotedAt   timekeeper.Time
	why          string
	// assessed are the counts that the assessor has seen.
	assessor *assessor.Assessor
	assessed map[countKey]attemptCounts
}

// Input is what the leader's decisions read.
type Input struct {
	Now      timekeeper.Time
	Fence    identifier.Fence
	NotAfter timekeeper.Time
	// Nodes are the other nodes that are alive.
	Nodes []identifier.VMID
	// Servers returns the servers of a service.
	Servers func(identifier.ServiceName) []*registrar.Server
}

// Lead returns the effects that the holder of the lease has to carry out for rollouts
// now.
func (p *Promoter) Lead(in Input) []messenger.Effect {
	if len(p.rollouts) == 0 || in.Now.Before(p.claim.nextDecision) {
		return nil
	}
	p.claim.nextDecision = in.Now.Add(decisionInterval)
	if p.claim.fence != in.Fence {
		p.claim = claim{
			fence:        in.Fence,
			nextDecision: p.claim.nextDecision,
		}
	}
	if !p.claim.done {
		return p.claimRollouts(in)
	}
	var out []messenger.Effect
	for _, service := range slices.Sorted(maps.Keys(p.rollouts)) {
		out = append(out, p.step(in, p.rollouts[service])...)
	}
	return out
}

// claimRollouts fences off earlier holders. Otherwise the delayed write of a paused one
// could complete a version that this holder rolls back.
func (p *Promoter) claimRollouts(in Input) []messenger.Effect {
	if p.claim.requestedAt != 0 && in.Now.Sub(p.claim.requestedAt) < storeRetryInterval {
		return nil
	}
	p.claim.requestedAt = in.Now
	return []messenger.Effect{
		messenger.ClaimRollouts{
			Fence:    in.Fence,
			NotAfter: in.NotAfter,
		},
	}
}

// Claimed merges the states that earlier holders wrote, once the claim is stored.
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

// supersede ends an earlier rollout of the service that was in progress: a newer order
// replaced it, and its version was not shown to be good.
func (r *rollout) supersede(earlier messenger.Rollout) {
	known := func(s messenger.Rollout) bool { return s.Order.Offset == earlier.Order.Offset }
	if earlier.Phase.Final() || earlier.Order.To == r.order.To || slices.ContainsFunc(r.leader.superseded, known) {
		return
	}
	r.markRolledBack(earlier.Order.To)
	r.leader.superseded = append(r.leader.superseded, earlier)
}

// step decides on one rollout and writes the decision.
func (p *Promoter) step(in Input, r *rollout) []messenger.Effect {
	if n := len(r.leader.superseded); n > 0 {
		return p.endSuperseded(in, r)
	}
	phase, why := p.decide(in, r)
	if why != "" {
		r.leader.why = why
	}
	if phase == messenger.RolloutRolledBack {
		// Nodes may follow a rollback before it is stored: it does no harm if the write
		// fails.
		p.advance(in.Now, r, phase, why)
	}
	r.leaderSeen = in.Now
	_, oldServers := r.split(in.Servers(r.order.Service))
	p.setExposure(in.Now, r, registrar.CountReady(oldServers))
	if r.leader.storedPhase == phase && r.leader.storedFence == in.Fence {
		return nil
	}
	if r.leader.pendingPhase == phase && in.Now.Sub(r.leader.sentAt) < storeRetryInterval {
		return nil
	}
	r.leader.pendingPhase = phase
	r.leader.pendingFence = in.Fence
	r.leader.sentAt = in.Now
	return []messenger.Effect{storeRollout(in, p.update(in.Now, r), phase)}
}

func storeRollout(in Input, r messenger.Rollout, phase messenger.RolloutPhase) messenger.StoreRollout {
	r.Phase = phase
	return messenger.StoreRollout{
		Rollout:  r,
		Fence:    in.Fence,
		NotAfter: in.NotAfter,
	}
}

// endSuperseded records an earlier rollout as rolled back.
func (p *Promoter) endSuperseded(in Input, r *rollout) []messenger.Effect {
	if in.Now.Sub(r.leader.sentAt) < storeRetryInterval {
		return nil
	}
	r.leader.sentAt = in.Now
	return []messenger.Effect{storeRollout(in, r.leader.superseded[0], messenger.RolloutRolledBack)}
}

// Stored processes the end of a write.
func (p *Promoter) Stored(now timekeeper.Time, e messenger.RolloutStored) {
	r := p.rollouts[e.Service]
	if r == nil || e.Result != messenger.LeaderTaskDone {
		return
	}
	if superseded := r.leader.superseded; len(superseded) > 0 && superseded[0].Order.Offset == e.Order {
		r.leader.superseded = superseded[1:]
		r.leader.sentAt = 0
		return
	}
	if r.order.Offset != e.Order {
		return
	}
	r.leader.storedPhase = e.Phase
	r.leader.storedFence = e.Fence
	if e.Phase == messenger.RolloutPromoting {
		r.leader.promotedAt = now
	}
	p.advance(now, r, e.Phase, r.leader.why)
}

// decide returns the phase that a rollout should be in, and the reason.
func (p *Promoter) decide(in Input, r *rollout) (messenger.RolloutPhase, string) {
	switch {
	case r.phase.Final():
		return r.phase, ""
	case r.leader.pendingPhase == messenger.RolloutCompleted && r.leader.pendingFence == in.Fence:
		// The write may have taken effect, and then the platform has removed the old
		// servers.
		return messenger.RolloutCompleted, r.leader.why
	case r.order.To == "":
		return messenger.RolloutRolledBack, "the order was withdrawn"
	case r.order.TimeLimit <= 0:
		return messenger.RolloutRolledBack, "the order leaves no time"
	}
	newServers, oldServers := r.split(in.Servers(r.order.Service))
	readyNew, readyOld := registrar.CountReady(newServers), registrar.CountReady(oldServers)
	v := p.assess(r, readyNew)
	if v.Bad {
		return messenger.RolloutRolledBack, "worse than the old version: " + v.Why
	}
	remaining := r.order.TimeLimit - in.Now.Sub(r.orderedAt)
	if r.phase == messenger.RolloutPromoting {
		if remaining <= completionReserve || p.migrated(in, r) {
			return messenger.RolloutCompleted, fmt.Sprintf("moved, left=%s", remaining)
		}
		return r.phase, ""
	}
	if readyNew > 0 && p.soleVersionConfirmed(in.Now, r) {
		return messenger.RolloutCompleted, "there are servers of this version only"
	}
	enoughServers := readyNew > 0 && float64(readyNew) >= minServerRatio*float64(readyOld)
	evidence := fmt.Sprintf("servers=%d before=%d left=%s %s", readyNew, readyOld, remaining, v.Why)
	if enoughServers && v.Trusted && in.Now.Sub(r.orderedAt) >= r.watchTime() {
		return messenger.RolloutPromoting, evidence
	}
	if remaining > r.migrationTime() {
		return messenger.RolloutRunning, evidence
	}
	if enoughServers && v.Acceptable {
		return messenger.RolloutPromoting, evidence
	}
	return messenger.RolloutRolledBack, "not shown to be good in time: " + evidence
}

// soleVersionConfirmed reports whether this node has seen servers of the ordered
// version only, for soleVersionTime.
func (p *Promoter) soleVersionConfirmed(now timekeeper.Time, r *rollout) bool {
	return p.hasSoleVersion(r) && now.Sub(p.versions[r.order.Service][r.order.To]) >= soleVersionTime
}

// hasSoleVersion reports whether this node has seen the ordered version and no other.
func (p *Promoter) hasSoleVersion(r *rollout) bool {
	versions := p.versions[r.order.Service]
	_, known := versions[r.order.To]
	return known && len(versions) == 1
}

// migrationTime returns the time reserved for the migration, and watchTime the minimum
// time for which the version is watched before.
func (r *rollout) migrationTime() timekeeper.Duration {
	reserved := timekeeper.Duration(migrationFraction * float64(r.order.TimeLimit))
	return min(max(reserved, min(minMigrationTime, r.order.TimeLimit/2)), maxMigrationTime)
}

func (r *rollout) watchTime() timekeeper.Duration {
	return min(timekeeper.Duration(minWatchFraction*float64(r.order.TimeLimit)), r.order.TimeLimit-r.migrationTime())
}

// assess passes the counts since the last decision to the assessor and returns its
// verdict.
func (p *Promoter) assess(r *rollout, servers int) assessor.Verdict {
	if r.leader.assessor == nil {
		r.leader.assessor = assessor.New()
		r.leader.assessed = map[countKey]attemptCounts{}
	}
	total := r.counts.total()
	var samples []assessor.Sample
	for _, key := range slices.SortedFunc(maps.Keys(total), compareKeys) {
		now, before := total[key], r.leader.assessed[key]
		samples = append(samples, assessor.Sample{
			Route:           key.route,
			Server:          key.server,
			Answers:         max(now.answers-before.answers, 0),
			Failed:          max(now.failed-before.failed, 0),
			Waiting:         now.waiting,
			UnderLoad:       r.activeServers > 0,
			FirstEventTimes: now.firstEventTimes.Minus(before.firstEventTimes),
			EventIntervals:  now.eventIntervals.Minus(before.eventIntervals),
		})
	}
	r.leader.assessed = total
	r.leader.assessor.Observe(samples)
	return r.leader.assessor.Verdict(servers)
}

// migrated reports whether all nodes that are alive send requests to the new version
// only, and no attempt is in flight at the old servers.
func (p *Promoter) migrated(in Input, r *rollout) bool {
	if r.leader.promotedAt == 0 {
		r.leader.promotedAt = in.Now
	}
	if in.Now.Sub(r.leader.promotedAt) < propagationTime {
		return false
	}
	promoting := map[identifier.VMID]bool{}
	inFlight := 0
	for key, counts := range r.counts.local {
		if key.server == "" {
			inFlight += counts.inFlight
		}
	}
	for process, peer := range r.counts.peers {
		if in.Now.Sub(peer.receivedAt) > maxReportAge {
			continue
		}
		promoting[process.vm] = peer.phase == messenger.RolloutPromoting
		for key, counts := range peer.counts {
			if key.server == "" {
				inFlight += counts.inFlight
			}
		}
	}
	if inFlight > 0 {
		return false
	}
	return !slices.ContainsFunc(in.Nodes, func(vm identifier.VMID) bool { return !promoting[vm] })
}

// setExposure sets the fraction of the requests that the new version receives, and the
// number of its servers that receive them. At first a small fraction goes to all of
// them, which reveals versions that are plainly bad and single faulty servers. The rest
// of the allowed exposure is saved for the end of the watch time, when a few servers at
// a time receive as much load as each will have after the migration, because some
// versions fail only under load.
func (p *Promoter) setExposure(now timekeeper.Time, r *rollout, readyOld int) {
	age := now.Sub(r.orderedAt)
	r.trafficShare = initialShareFactor * p.config.Share
	r.activeServers = 0
	if age < timekeeper.Duration(loadTestStart*float64(r.watchTime())) || readyOld == 0 {
		return
	}
	sent, exposed := 0, 0
	for key, counts := range r.leader.assessed {
		sent += counts.sent
		if key.server != "" {
			exposed += counts.sent
		}
	}
	remaining := max(r.watchTime()-age, rotationPeriod)
	rate := max(float64(sent)/float64(max(age, rotationPeriod)), minRatePerMS)
	share := targetShareFactor * p.config.Share
	unused := share*float64(sent) + usableSlack*p.config.Slack - float64(exposed)
	trafficShare := share + unused/(rate*float64(remaining))
	r.trafficShare = min(max(trafficShare, initialShareFactor*p.config.Share), maxShareFactor*p.config.Share)
	r.activeServers = max(int(math.Round(r.trafficShare*float64(readyOld)/loadTestFactor)), 1)
	r.trafficShare = min(r.trafficShare, loadTestFactor*float64(r.activeServers)/float64(readyOld))
}
