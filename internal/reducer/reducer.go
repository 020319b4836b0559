// Package reducer applies every event of a node to its state: Apply takes an event and
// returns the effects to carry out.
//
// Apply reads no clock and does no I/O. Time is a field of the event, and the random
// source is seeded in New, so the same events always give the same effects, and a test
// can run several nodes through any schedule of faults in one goroutine.
//
// The reducer leaves decisions to other packages. It passes each event to the packages
// that hold the affected parts of the state, and informs others of the changes that they
// depend on.
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
	"github.com/dotterelhollow/dotterelhollow/internal/pathfinder"
	"github.com/dotterelhollow/dotterelhollow/internal/planner"
	"github.com/dotterelhollow/dotterelhollow/internal/provisioner"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/ranker"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The defaults of Config.
const (
	defaultMaxRequests = 4096
	defaultMaxCopies   = 2048
	defaultMaxClaims   = 200_000
	defaultPartitions  = 4
	// defaultRetention applies until a configuration states the retention of the log.
	defaultRetention = 1 * timekeeper.Hour
)

// Config configures a node's Reducer.
type Config struct {
	Self          identifier.VMID
	Incarnation   identifier.Incarnation
	Zone          identifier.Zone
	Region        identifier.Region
	PeerAddress   string
	CallerAddress string
	// Capacity is the VM's capacity relative to that of other nodes, or zero if
	// unknown.
	Capacity uint32
	// Seed is the seed of the random source. It should differ between nodes.
	Seed uint64
	// Partitions is the number of log streams that carry claims. It must be the same on
	// all nodes.
	Partitions  int
	MaxRequests int
	MaxCopies   int
	// LogRetention is the minimum time for which the log keeps a record.
	LogRetention timekeeper.Duration
	// LoadTime is the time from the purchase of a VM until it serves.
	LoadTime   timekeeper.Duration
	Safeguards conductor.Safeguards
	// Gateway makes the node serve opaque exchanges, with the configuration and the
	// backend servers that the platform publishes. If it is nil, the node serves
	// requests with operators' folders and the VMs that it buys.
	Gateway *GatewayConfig
	// Seeds are peer addresses to contact while the node knows no peer.
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

// New returns the initial state of a node.
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
		r.gateway.paths = pathfinder.New(pathfinder.Config{
			Zone:  c.Zone,
			Peers: pathPeers{r},
			Rand:  rand.New(rand.NewPCG(c.Seed, uint64(c.Incarnation)+1)),
		})
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
	env := r.env(e.At)
	switch b := e.Body.(type) {
	case messenger.RequestReceived:
		return r.requests.Receive(env, b.Spec)
	case messenger.RequestCancelled:
		return r.requests.Cancel(env, b.Request)
	case messenger.CallerDisconnected:
		return r.requests.CallerDisconnected(env, b.Request)
	case messenger.CallerAttached:
		return r.requests.CallerAttached(env, b.Request)

	case messenger.AttemptStarted:
		return r.requests.AttemptStarted(env, b)
	case messenger.AttemptProgress:
		return r.requests.AttemptProgress(env, b)
	case messenger.AttemptEnded:
		out := r.requests.AttemptEnded(env, b)
		r.scheduleSuspectUpdate(env)
		return out
	case messenger.KVMoved:
		return r.requests.KVMoved(env, b)

	case messenger.HoldAcked:
		return r.requests.HoldAcked(env, b)
	case messenger.HoldFailed:
		return r.requests.HoldFailed(env, b)
	case messenger.HoldRefused:
		return r.requests.HoldRefused(env, b)
	case messenger.CopyHeld:
		return r.requests.CopyHeld(env, b)
	case messenger.CopyDropped:
		return r.requests.CopyDropped(env, b)
	case messenger.RequestHandedOver:
		return r.requests.RequestHandedOver(env, b)
	case messenger.HandoverAcked:
		return r.requests.HandoverAcked(env, b)
	case messenger.HandoverFailed:
		return r.requests.HandoverFailed(env, b)

	case messenger.LogRead:
		return r.logRead(env, b)
	case messenger.LogUnavailable:
		return r.logUnavailable(env, b)
	case messenger.StoreRestored:
		return r.storeRestored(env, b)
	case messenger.AppendEnded:
		// An append takes effect only when it is read back from the log.
		r.claims.AppendEnded(env.Now, b.Stream, b.OK)
		r.quarantineAppended(b)
		r.originsAppended(b)
		return nil
	case messenger.ChangeProposed:
		return r.changeProposed(env, b)
	case messenger.ConfigurationReceived:
		return r.configurationReceived(env, b)

	case messenger.ListRead:
		r.provisioner.ListRead(b.AsOf)
		changed := r.membersChanged(env, r.members.MergeList(env.Now, b.AsOf, b.VMs))
		r.nodesListed(env, len(b.VMs))
		return changed
	case messenger.NoticeReceived:
		return r.membersChanged(env, r.members.MarkReclaimed(env.Now, b.VM, b.Deadline))
	case messenger.GossipReceived:
		return r.gossipReceived(env, b)
	case messenger.PeerFailed:
		// Failures of members are detected by heartbeats, which other nodes may relay.
		r.allocatorFailed(env, b)
		return nil
	case messenger.DrainStarted:
		return r.drainStarted(env, b)

	case messenger.LoadReported:
		return r.loadReported(env, b)
	case messenger.LoadMissed:
		return r.loadMissed(env, b)
	case messenger.CacheReported:
		r.hints.Observe(env.Now, b.Server, b.Cached, b.Evicted, b.Gap)
		return nil

	case messenger.StateUpdateReceived:
		r.quarantine.Merge(env.Now, b.Update.Suspects)
		return r.gatewayEvent(env, b)
	case messenger.ExchangeReceived, messenger.ExchangeBegan, messenger.ExchangeAttemptEnded, messenger.ExchangeStalled,
		messenger.ExchangeEnded, messenger.ExchangeMoved, messenger.CatalogPublished, messenger.CatalogConfirmed,
		messenger.ServersPublished, messenger.ServersUnavailable,
		messenger.ServersOrdered, messenger.UsageReported, messenger.LimitAnswered, messenger.LimitRequested,
		messenger.RolloutsClaimed, messenger.RolloutStored, messenger.ServerLimitReceived,
		messenger.ServerLeavingReceived, messenger.ServerBrittleReceived,
		messenger.PermitRequested, messenger.PermitAnswered, messenger.StreamLocated, messenger.StreamRequested, messenger.StreamsReported,
		messenger.SlotRequested, messenger.SlotAnswered, messenger.SlotsReported:
		return r.gatewayEvent(env, b)
	case messenger.PathTried, messenger.ServerProbed, messenger.TunnelRequested, messenger.TunnelEnded:
		return r.pathEvent(env, b)

	case messenger.BuyEnded:
		return r.provisioner.BuyEnded(env.Now, b)
	case messenger.OrderEnded:
		return r.provisioner.OrderEnded(env.Now, b)

	case messenger.Tick:
		return r.tick(env)
	}
	panic(&UnknownEventError{Body: e.Body})
}

var _ error = (*UnknownEventError)(nil)

// UnknownEventError is the panic value of Apply for an event type that it does not
// handle.
type UnknownEventError struct{ Body messenger.EventBody }

func (e *UnknownEventError) Error() string {
	return "reducer: event type without a case in Apply"
}

// env returns the parts of the state that the conductor uses for one event.
func (r *Reducer) env(now timekeeper.Time) *conductor.Env {
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
