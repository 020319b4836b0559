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
	// maxCountKeys limits the keys that are counted for one rollout, and maxProcesses
	// the peer processes whose counts are stored.
	maxCountKeys = 1024
	maxProcesses = 4096
	// abandonedFactor is the multiple of the predicted time after which a request that
	// its caller abandoned without a response counts as one with a response as late as
	// that.
	abandonedFactor = 3
)

// countKey identifies what is counted separately: a route's requests at one server of
// the new version or, with an empty server, at all servers of the old version.
type countKey struct {
	route  identifier.RouteName
	server identifier.VMID
}

// attemptCounts are the results of the attempts with one countKey.
type attemptCounts struct {
	sent, answers, failed int
	// waiting are the attempts in flight whose response has not started.
	inFlight, waiting               int
	firstEventTimes, eventIntervals assessor.Histogram
}

// rolloutCounts are the counts of one rollout by this node and its peers.
type rolloutCounts struct {
	local map[countKey]*attemptCounts
	// sent counts all requests of the service that this node sent, exposed those of
	// them that went to the new version, and sentByRoute the sent ones by route.
	sent        int
	exposed     int
	sentByRoute map[identifier.RouteName]int
	peers       map[peerProcess]*peerCounts
}

// peerProcess identifies one incarnation of a peer.
type peerProcess struct {
	vm          identifier.VMID
	incarnation identifier.Incarnation
}

// peerCounts are the counts that one process of a peer reported.
type peerCounts struct {
	receivedAt timekeeper.Time
	phase      messenger.RolloutPhase
	counts     map[countKey]attemptCounts
}

func newRolloutCounts() rolloutCounts {
	return rolloutCounts{
		local:       map[countKey]*attemptCounts{},
		sentByRoute: map[identifier.RouteName]int{},
		peers:       map[peerProcess]*peerCounts{},
	}
}

// TrackedAttempt is an attempt sent while a rollout of its service is in progress. The
// zero value stands for any other attempt.
type TrackedAttempt struct {
	service identifier.ServiceName
	order   identifier.Offset
	key     countKey
}

// Exposed reports whether the attempt was sent to a server of the new version.
func (t TrackedAttempt) Exposed() bool { return t.key.server != "" }

// RecordSent counts a request that is sent to a server.
func (p *Promoter) RecordSent(service identifier.ServiceName, route identifier.RouteName, s *registrar.Server) TrackedAttempt {
	r := p.rollouts[service]
	if r == nil || r.phase.Final() {
		return TrackedAttempt{}
	}
	t := TrackedAttempt{
		service: service,
		order:   r.firstOffset,
		key:     countKey{route: route},
	}
	r.counts.sent++
	r.counts.sentByRoute[route]++
	if s.Version == r.order.To {
		t.key.server = s.Server
		r.counts.exposed++
	}
	if counts := r.counts.counts(t.key); counts != nil {
		counts.sent++
		counts.inFlight++
		counts.waiting++
	}
	return t
}

func (c *rolloutCounts) counts(key countKey) *attemptCounts {
	counts := c.local[key]
	if counts == nil && len(c.local) < maxCountKeys {
		counts = &attemptCounts{}
		c.local[key] = counts
	}
	return counts
}

// countsOf returns the counts that include an attempt, or nil if its rollout is no
// longer tracked.
func (p *Promoter) countsOf(t TrackedAttempt) *attemptCounts {
	r := p.rollouts[t.service]
	if r == nil || r.firstOffset != t.order {
		return nil
	}
	return r.counts.local[t.key]
}

// RecordResponseStart counts the first byte or event of a response. A response counts
// from its start: if it counted at its end, failures, which are short, would be counted
// long before successes that started at the same time, and every burst of requests
// would look bad at first.
func (p *Promoter) RecordResponseStart(t TrackedAttempt, took, predicted timekeeper.Duration) {
	if counts := p.countsOf(t); counts != nil {
		counts.answers++
		counts.waiting = max(counts.waiting-1, 0)
		counts.firstEventTimes[firstEventBucket(took, predicted)]++
	}
}

// AttemptEnd describes the end of an attempt.
type AttemptEnd struct {
	Result messenger.AttemptResult
	// ResponseStarted is set if the response had started. Otherwise Elapsed is the time
	// for which it was awaited, and Predicted the predicted time to its start.
	ResponseStarted bool
	Elapsed         timekeeper.Duration
	Predicted       timekeeper.Duration
	// Events is the number of events received, and EventsDuration the time from the
	// first to the last.
	Events         int
	EventsDuration timekeeper.Duration
	// ServerEnded is set if the server ended, for whatever reason.
	ServerEnded bool
	// PathBroken is set if this node does not reach the server itself, so that only a peer
	// could have brought the answer.
	PathBroken bool
}

// RecordEnd counts the end of an attempt. Attempts that did not run, and those that
// ended with their server or the path to it, are no evidence about the version.
func (p *Promoter) RecordEnd(t TrackedAttempt, e AttemptEnd) {
	counts := p.countsOf(t)
	if counts == nil {
		return
	}
	counts.inFlight = max(counts.inFlight-1, 0)
	if !e.ResponseStarted {
		counts.waiting = max(counts.waiting-1, 0)
	}
	if e.Events > 1 {
		interval := float64(e.EventsDuration) / float64(e.Events-1)
		counts.eventIntervals[assessor.BucketOf(interval/referenceInterval)]++
	}
	switch e.Result {
	case messenger.AttemptFailed, messenger.AttemptBroken, messenger.AttemptTimedOut:
		if e.ServerEnded || e.PathBroken && e.Result != messenger.AttemptFailed {
			break
		}
		counts.failed++
		if !e.ResponseStarted {
			counts.answers++
		}
	case "":
		if !e.ResponseStarted && e.Elapsed >= abandonedFactor*e.Predicted {
			counts.firstEventTimes[firstEventBucket(e.Elapsed, e.Predicted)]++
		}
	}
}

// minComparedTime is the time below which times to first events are not told apart. The
// clock counts whole milliseconds; from here on an error of one millisecond changes a ratio
// by less than a bucket.
const minComparedTime = 3 * timekeeper.Millisecond

// firstEventBucket returns the bucket of a time to the first event.
func firstEventBucket(took, predicted timekeeper.Duration) int {
	return assessor.BucketOf(float64(max(took, minComparedTime)) / float64(max(predicted, minComparedTime)))
}

// referenceInterval is the time between events, in milliseconds, that belongs to the
// even bucket of eventIntervals. Only the two versions are compared with each other, so
// any value near the usual one works.
const referenceInterval = 30.0

// Counts returns this node's counts of the rollouts in progress, for the leader.
func (p *Promoter) Counts() []messenger.VersionCount {
	var out []messenger.VersionCount
	for _, service := range slices.Sorted(maps.Keys(p.rollouts)) {
		r := p.rollouts[service]
		if r.phase.Final() {
			continue
		}
		for _, key := range slices.SortedFunc(maps.Keys(r.counts.local), compareKeys) {
			counts := r.counts.local[key]
			out = append(out, messenger.VersionCount{
				Service:         service,
				Order:           r.order.Offset,
				Route:           key.route,
				Server:          key.server,
				Sent:            counts.sent,
				Answers:         counts.answers,
				Failed:          counts.failed,
				FirstEventTimes: slices.Clone(counts.firstEventTimes[:]),
				EventIntervals:  slices.Clone(counts.eventIntervals[:]),
				Running:         counts.inFlight,
				Waiting:         counts.waiting,
			})
		}
	}
	return out
}

func compareKeys(a, b countKey) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.server, b.server))
}

// MergePeerCounts merges the counts that a peer's process reported and the phases that
// it follows.
func (p *Promoter) MergePeerCounts(now timekeeper.Time, vm identifier.VMID, i identifier.Incarnation, s messenger.StateUpdate) {
	process := peerProcess{
		vm:          vm,
		incarnation: i,
	}
	for _, update := range s.Rollouts {
		r := p.rollouts[update.Order.Service]
		if r == nil || r.order.Offset != update.Order.Offset || r.phase.Final() {
			continue
		}
		if peer := r.counts.peer(process); peer != nil {
			peer.receivedAt = now
			peer.phase = update.Phase
		}
	}
	for _, c := range s.Versions {
		r := p.rollouts[c.Service]
		if r == nil || r.order.Offset != c.Order {
			continue
		}
		if peer := r.counts.peer(process); peer != nil {
			peer.merge(c)
		}
	}
}

func (c *rolloutCounts) peer(process peerProcess) *peerCounts {
	peer := c.peers[process]
	if peer == nil && len(c.peers) < maxProcesses {
		peer = &peerCounts{counts: map[countKey]attemptCounts{}}
		c.peers[process] = peer
	}
	return peer
}

func (peer *peerCounts) merge(c messenger.VersionCount) {
	key := countKey{
		route:  c.Route,
		server: c.Server,
	}
	known, ok := peer.counts[key]
	if !ok && len(peer.counts) >= maxCountKeys || c.Sent < known.sent {
		return
	}
	peer.counts[key] = attemptCounts{
		sent:            c.Sent,
		answers:         max(c.Answers, known.answers),
		failed:          max(c.Failed, known.failed),
		inFlight:        c.Running,
		waiting:         c.Waiting,
		firstEventTimes: assessor.FromCounts(c.FirstEventTimes),
		eventIntervals:  assessor.FromCounts(c.EventIntervals),
	}
}

// total returns the sums of the counts of all nodes by key.
func (c *rolloutCounts) total() map[countKey]attemptCounts {
	sum := make(map[countKey]attemptCounts, len(c.local))
	for key, counts := range c.local {
		sum[key] = *counts
	}
	for _, peer := range c.peers {
		for key, counts := range peer.counts {
			sum[key] = sum[key].plus(counts)
		}
	}
	return sum
}

func (c attemptCounts) plus(other attemptCounts) attemptCounts {
	c.sent += other.sent
	c.answers += other.answers
	c.failed += other.failed
	c.inFlight += other.inFlight
	c.waiting += other.waiting
	for i := range c.firstEventTimes {
		c.firstEventTimes[i] += other.firstEventTimes[i]
		c.eventIntervals[i] += other.eventIntervals[i]
	}
	return c
}
