// Package reducer is the one place where every event of a node meets the
// state: Apply takes an event and returns the effects to carry out.
//
// Apply reads no clock, draws no randomness of its own and does no I/O. Time
// is a field of the event and the random source is seeded at New, so that the
// same events always give the same effects, and a test can drive several
// nodes through any schedule of faults in one goroutine.
//
// The reducer itself decides nothing. It hands each event to the packages
// whose slice of the state it concerns and, where one slice's news concerns
// another, passes it on.
package reducer

import (
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/planner"
	"github.com/dotterelhollow/dotterelhollow/internal/provisioner"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/ranker"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The bounds of a node's tables, where its Config leaves them out.
const (
	defaultMaxRequests = 4096
	defaultMaxCopies   = 2048
	defaultMaxClaims   = 200_000
	defaultPartitions  = 4
	// defaultRetention stands until the configuration says how long the log
	// keeps a record.
	defaultRetention = 1 * timekeeper.Hour
)

// Config says which node the reducer decides for.
type Config struct {
	Self          identifier.VMID
	Incarnation   identifier.Incarnation
	Zone          identifier.Zone
	Region        identifier.Region
	PeerAddress   string
	CallerAddress string
	// Capacity is what the VM can carry beside others; zero where it is not
	// known.
	Capacity uint32
	// Seed starts the random source. Two nodes should not share it.
	Seed uint64
	// Partitions is the number of log streams that carry claims. It is the
	// same on all nodes.
	Partitions  int
	MaxRequests int
	MaxCopies   int
	// LogRetention is the least time for which the log keeps a record.
	LogRetention timekeeper.Duration
	// LoadTime is how long a new VM takes until it serves.
	LoadTime   timekeeper.Duration
	Safeguards conductor.Safeguards
	// Gateway makes the node serve the opaque exchanges of a configuration and
	// of backend servers that the platform publishes, in place of operators'
	// folders and bought VMs; nil where it does not.
	Gateway *GatewayConfig
	// Seeds are peer addresses to try while the node knows no peer.
	Seeds []string
}

// Reducer is the state of one node. It is not safe for concurrent use.
type Reducer struct {
	config      Config
	rand        *rand.Rand
	files       *configurer.State
	claims      *claimer.Table
	members     *gossiper.Members
	ranking     *ranker.Ranking
	loads       map[identifier.VMID]messenger.ServerLoad
	limits      *limiter.Limits
	budgets     *retrier.Budgets
	suspicions  *detector.Suspicions
	hints       *router.Hints
	quarantine  *quarantiner.Quarantine
	requests    *conductor.Conductor
	provisioner *provisioner.Provisioner
	timers      timers
	gateway     *gateway
}

// New returns the state of a node that knows nothing yet.
func New(c Config) *Reducer {
	c = c.withDefaults()
	r := &Reducer{
		config:      c,
		rand:        rand.New(rand.NewPCG(c.Seed, uint64(c.Incarnation))),
		files:       newFiles(),
		claims:      newClaims(c),
		members:     newMembers(c),
		loads:       map[identifier.VMID]messenger.ServerLoad{},
		limits:      limiter.New(limiter.Config{Rules: limiter.AllRules()}),
		budgets:     retrier.New(retrier.Config{Rules: retrier.AllRules()}),
		suspicions:  detector.New(detector.Config{Rules: detector.AllRules()}),
		hints:       router.NewHints(router.HintsConfig{}),
		quarantine:  quarantiner.New(),
		requests:    newConductor(c),
		provisioner: newProvisioner(c),
		timers:      newTimers(),
	}
	r.ranking = ranker.New(ranker.Config{
		Self:    c.Self,
		Zone:    c.Zone,
		Members: r.members,
	})
	if c.Gateway != nil {
		r.gateway = newGateway(c, r.quarantine)
		r.suspicions = detector.New(c.Gateway.suspicions())
	}
	return r
}

func (c Config) withDefaults() Config {
	if c.MaxRequests == 0 {
		c.MaxRequests = defaultMaxRequests
	}
	if c.MaxCopies == 0 {
		c.MaxCopies = defaultMaxCopies
	}
	if c.LogRetention == 0 {
		c.LogRetention = defaultRetention
	}
	if c.Partitions == 0 {
		c.Partitions = defaultPartitions
	}
	return c
}

func newConductor(c Config) *conductor.Conductor {
	return conductor.New(conductor.Config{
		Self:         c.Self,
		Incarnation:  c.Incarnation,
		Zone:         c.Zone,
		MaxRequests:  c.MaxRequests,
		MaxCopies:    c.MaxCopies,
		Safeguards:   c.Safeguards,
		RoutingRules: router.AllRules(),
		PlanRules:    planner.AllRules(),
	})
}

// Apply changes the state by one event and returns the effects to carry out.
func (r *Reducer) Apply(e messenger.Event) []messenger.Effect {
	w := r.world(e.At)
	switch b := e.Body.(type) {
	case messenger.RequestReceived:
		return r.requests.Receive(w, b.Spec)
	case messenger.RequestCancelled:
		return r.requests.Cancel(w, b.Request)
	case messenger.CallerDisconnected:
		return r.requests.CallerDisconnected(w, b.Request)
	case messenger.CallerAttached:
		return r.requests.CallerAttached(w, b.Request)

	case messenger.AttemptStarted:
		return r.requests.AttemptStarted(w, b)
	case messenger.AttemptProgress:
		return r.requests.AttemptProgress(w, b)
	case messenger.AttemptEnded:
		out := r.requests.AttemptEnded(w, b)
		r.tellEndsSoon(w)
		return out
	case messenger.KVMoved:
		return r.requests.KVMoved(w, b)

	case messenger.HoldAcked:
		return r.requests.HoldAcked(w, b)
	case messenger.HoldFailed:
		return r.requests.HoldFailed(w, b)
	case messenger.HoldRefused:
		return r.requests.HoldRefused(w, b)
	case messenger.CopyHeld:
		return r.requests.CopyHeld(w, b)
	case messenger.CopyDropped:
		return r.requests.CopyDropped(w, b)
	case messenger.RequestHandedOver:
		return r.requests.RequestHandedOver(w, b)
	case messenger.HandoverAcked:
		return r.requests.HandoverAcked(w, b)
	case messenger.HandoverFailed:
		return r.requests.HandoverFailed(w, b)

	case messenger.LogRead:
		return r.logRead(w, b)
	case messenger.LogUnavailable:
		return r.logUnavailable(w, b)
	case messenger.StoreRestored:
		return r.storeRestored(w, b)
	case messenger.AppendEnded:
		// Only reading the log back settles an append.
		r.claims.AppendEnded(w.Now, b.Stream, b.OK)
		r.quarantineAppended(b)
		return nil
	case messenger.ChangeProposed:
		return r.changeProposed(w, b)
	case messenger.ConfigurationReceived:
		return r.configurationReceived(w, b)

	case messenger.ListRead:
		r.provisioner.ListRead(b.AsOf)
		changed := r.membersChanged(w, r.members.MergeList(w.Now, b.AsOf, b.VMs))
		r.nodesListed(w, len(b.VMs))
		return changed
	case messenger.NoticeReceived:
		return r.membersChanged(w, r.members.MarkReclaimed(w.Now, b.VM, b.Deadline))
	case messenger.GossipReceived:
		return r.gossipReceived(w, b)
	case messenger.PeerFailed:
		return nil // Silence is judged by heartbeats, which others may relay.
	case messenger.DrainStarted:
		return r.drainStarted(w, b)

	case messenger.LoadReported:
		return r.loadReported(w, b)
	case messenger.LoadMissed:
		return r.loadMissed(w, b)
	case messenger.CacheReported:
		r.hints.Observe(w.Now, b.Server, b.Cached, b.Evicted, b.Gap)
		return nil

	case messenger.StateUpdateReceived:
		r.quarantine.Merge(w.Now, b.Update.Suspects)
		return r.gatewayEvent(w, b)
	case messenger.ExchangeReceived, messenger.ExchangeBegan, messenger.ExchangeAttemptEnded,
		messenger.ExchangeEnded, messenger.CatalogPublished, messenger.CatalogConfirmed,
		messenger.ServersPublished,
		messenger.ServersOrdered, messenger.UsageReported, messenger.LimitAnswered, messenger.LimitRequested,
		messenger.RolloutsClaimed, messenger.RolloutStored, messenger.ServerLimitReceived,
		messenger.PermitRequested, messenger.PermitAnswered:
		return r.gatewayEvent(w, b)

	case messenger.BuyEnded:
		return r.provisioner.BuyEnded(w.Now, b)
	case messenger.OrderEnded:
		return r.provisioner.OrderEnded(w.Now, b)

	case messenger.Tick:
		return r.tick(w)
	}
	panic(&UnknownEventError{Body: e.Body})
}

var _ error = (*UnknownEventError)(nil)

// UnknownEventError is the broken invariant that an event type has no case in
// Apply.
type UnknownEventError struct{ Body messenger.EventBody }

func (e *UnknownEventError) Error() string {
	return "reducer: event type without a case in Apply"
}

// world lends the slices of the state to the conductor for one event.
func (r *Reducer) world(now timekeeper.Time) *conductor.Env {
	return &conductor.Env{
		Now:        now,
		Catalog:    r.Catalog(),
		Members:    r.members,
		Limits:     r.limits,
		Budgets:    r.budgets,
		Suspicions: r.suspicions,
		Hints:      r.hints,
		Claims:     r.claims,
		Quarantine: r.quarantine,
		Loads:      r.loads,
		Rand:       r.rand,
	}
}
