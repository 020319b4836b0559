package conductor_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/planner"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	start          = timekeeper.Time(1_000_000)
	self           = identifier.VMID("n1")
	peer           = identifier.VMID("n2")
	id             = identifier.RequestID("r1")
	requestTimeout = 60 * timekeeper.Second
)

// services has two model services and two plain ones.
var services = map[identifier.ServiceName]catalog.Service{
	"report": {
		Name:       "report",
		Kind:       catalog.ModelService,
		Pool:       "reading",
		Long:       true,
		Idempotent: true,
		MaxTokens:  400,
	},
	"tag": {
		Name:       "tag",
		Kind:       catalog.ModelService,
		Pool:       "reading",
		Priority:   catalog.Interactive,
		Idempotent: true,
		MaxTokens:  400,
	},
	"lookup": {
		Name:       "lookup",
		Kind:       catalog.PlainService,
		Pool:       "portal",
		Idempotent: true,
	},
	"booking": {
		Name:      "booking",
		Kind:      catalog.PlainService,
		Pool:      "portal",
		KeyWindow: 10 * timekeeper.Minute,
	},
}

func newCatalog() *catalog.Catalog {
	return &catalog.Catalog{
		Revision: 1,
		Services: services,
		Accounts: map[identifier.AccountID]catalog.Account{"agent": {ID: "agent"}},
		Pools: map[identifier.PoolName]catalog.Pool{
			"reading": {
				Name:             "reading",
				Kind:             catalog.ModelService,
				Slots:            4,
				TokensPerSecond:  10,
				PrefillPerSecond: 1000,
				KVBytesPerToken:  100,
				TransferRate:     1 << 20,
			},
			"portal": {
				Name:  "portal",
				Kind:  catalog.PlainService,
				Slots: 4,
			},
		},
	}
}

// fixture is a conductor with its environment.
type fixture struct {
	t          *testing.T
	env        *conductor.Env
	c          *conductor.Conductor
	lastOffset identifier.Offset
}

// newFixture returns a node with one peer in another zone, three engines and
// two plain servers.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		t:   t,
		env: newEnv(),
		c: conductor.New(conductor.Config{
			Self:         self,
			Zone:         "a",
			MaxRequests:  2,
			MaxCopies:    2,
			Safeguards:   conductor.AllSafeguards(),
			RoutingRules: router.AllRules(),
			PlanRules:    planner.AllRules(),
		}),
	}
	f.receivePeerGossip()
	f.env.Limits.SetCatalog(start, f.env.Catalog)
	f.env.Members.MergeList(start, start, []messenger.VMState{
		server("e1", "reading"),
		server("e2", "reading"),
		server("e3", "reading"),
		server("p1", "portal"),
		server("p2", "portal"),
	})
	for _, engine := range []identifier.VMID{"e1", "e2", "e3"} {
		f.env.Loads[engine] = messenger.ServerLoad{
			AsOf:         start,
			Slots:        4,
			FreeKVTokens: 10_000,
		}
	}
	f.readClaims()
	return f
}

func newEnv() *conductor.Env {
	return &conductor.Env{
		Now:     start,
		Catalog: newCatalog(),
		Members: gossiper.New(gossiper.Config{
			Self:        self,
			Incarnation: 1,
			Zone:        "a",
			PeerAddress: string(self),
		}),
		Limits:     limiter.New(limiter.Config{Rules: limiter.AllRules()}),
		Budgets:    retrier.New(retrier.Config{Rules: retrier.AllRules()}),
		Suspicions: detector.New(detector.Config{Rules: detector.AllRules()}),
		Hints:      router.NewHints(router.HintsConfig{}),
		Claims: claimer.New(claimer.Config{
			Self:       self,
			Partitions: 1,
			Retention:  timekeeper.Hour,
		}),
		Quarantine: quarantiner.New(),
		Loads:      map[identifier.VMID]messenger.ServerLoad{},
		Rand:       rand.New(rand.NewPCG(1, 1)),
	}
}

func server(vm identifier.VMID, pool identifier.PoolName) messenger.VMState {
	return messenger.VMState{
		VM:      vm,
		Zone:    "a",
		Class:   "engine",
		Market:  catalog.Reclaimable,
		Pool:    pool,
		Address: string(vm),
	}
}

// receivePeerGossip adds the peer to the node's members.
func (f *fixture) receivePeerGossip() {
	other := gossiper.New(gossiper.Config{
		Self:        peer,
		Incarnation: 1,
		Zone:        "b",
		PeerAddress: string(peer),
		Seeds:       []string{string(self)},
	})
	messages, _ := other.Tick(start, f.env.Rand)
	require.NotEmpty(f.t, messages)
	_, err := f.env.Members.Receive(start, peer, messages[0].Data)
	require.NoError(f.t, err)
}

// readClaims appends records to the only claim stream and reads them back.
func (f *fixture) readClaims(data ...[]byte) []messenger.Effect {
	read := messenger.LogRead{
		Stream: "claims-0",
		First:  1,
		End:    true,
	}
	for _, d := range data {
		f.lastOffset++
		read.Records = append(read.Records, messenger.Record{
			Offset:   f.lastOffset,
			Appended: f.env.Now,
			Data:     d,
		})
	}
	return f.c.ClaimsDecided(f.env, f.env.Claims.ApplyRecords(f.env.Now, read))
}

// spec returns a request for a service. It has a key if it is not idempotent.
func spec(name identifier.ServiceName) messenger.RequestSpec {
	s := messenger.RequestSpec{
		Request:      id,
		Account:      "agent",
		Service:      name,
		Idempotent:   services[name].Idempotent,
		Long:         services[name].Long,
		EntryNode:    self,
		Received:     start,
		Deadline:     start.Add(requestTimeout),
		PromptTokens: 100,
		MaxTokens:    services[name].MaxTokens,
	}
	if !s.Idempotent {
		s.Key = "k"
	}
	return s
}

func (f *fixture) receive(name identifier.ServiceName) []messenger.Effect {
	return f.c.Receive(f.env, spec(name))
}

// run brings a request for a service to its first attempt.
func (f *fixture) run(name identifier.ServiceName) messenger.SendAttempt {
	f.t.Helper()
	out := f.receive(name)
	if claim, ok := findEffect[messenger.AppendRecord](out); ok {
		out = f.readClaims(claim.Data)
	}
	if hold, ok := findEffect[messenger.Hold](out); ok {
		out = f.c.HoldAcked(f.env, messenger.HoldAcked{
			Request: id,
			Holder:  hold.Holder,
		})
	}
	return requireOne[messenger.SendAttempt](f.t, out)
}

func (f *fixture) progress(a messenger.SendAttempt, delivered identifier.Tokens) {
	f.c.AttemptProgress(f.env, messenger.AttemptProgress{
		Request:   id,
		Attempt:   a.Attempt,
		Delivered: delivered,
	})
}

// end reports the end of an attempt.
func (f *fixture) end(
	a messenger.SendAttempt, result messenger.AttemptResult, retryAfter timekeeper.Duration,
) []messenger.Effect {
	return f.c.AttemptEnded(f.env, messenger.AttemptEnded{
		Request:    id,
		Attempt:    a.Attempt,
		Result:     result,
		RetryAfter: retryAfter,
	})
}

// tickAt sets the time to d after the start and ticks once.
func (f *fixture) tickAt(d timekeeper.Duration) []messenger.Effect {
	f.env.Now = start.Add(d)
	return f.c.Tick(f.env)
}

// tickUntil ticks every 100 ms up to d after the start.
func (f *fixture) tickUntil(d timekeeper.Duration) []messenger.Effect {
	var out []messenger.Effect
	for at := f.env.Now.Sub(start); at < d; at += 100 * timekeeper.Millisecond {
		out = append(out, f.tickAt(at)...)
	}
	return append(out, f.tickAt(d)...)
}

// findEffect returns the first effect of a type.
func findEffect[E messenger.Effect](effects []messenger.Effect) (E, bool) {
	for _, e := range effects {
		if found, ok := e.(E); ok {
			return found, true
		}
	}
	var none E
	return none, false
}

func requireOne[E messenger.Effect](t *testing.T, effects []messenger.Effect) E {
	t.Helper()
	found, ok := findEffect[E](effects)
	require.True(t, ok, "no %T among %v", found, effects)
	return found
}

func requireNone[E messenger.Effect](t *testing.T, effects []messenger.Effect) {
	t.Helper()
	found, ok := findEffect[E](effects)
	require.False(t, ok, "%v", found)
}

func hasTimelineEntry(effects []messenger.Effect, kind messenger.TimelineKind) bool {
	for _, e := range effects {
		if n, ok := e.(messenger.TimelineEntry); ok && n.Kind == kind {
			return true
		}
	}
	return false
}
