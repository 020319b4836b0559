package prover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The users' bound on what arrives at a server that states a limit: from limitSettles
// after it first did, in any limitSpan limitFactor times what that allows and limitSlack
// requests, of the nodes that passed on an answer with the limit limitKnown earlier.
const (
	limitSettles = 3 * timekeeper.Second
	limitSpan    = 4 * timekeeper.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitKnown   = 500 * timekeeper.Millisecond
	// excusedFor is how long after its end a restart, freeze or cut excuses a node.
	excusedFor = 3 * timekeeper.Second

	// Servers state a limit from limitFrom to limitUntil.
	limitFrom  = 7 * timekeeper.Second
	limitUntil = 17 * timekeeper.Second
)

// limits is what the world knows of servers that state a limit.
type limits struct {
	rates map[identifier.VMID]identifier.RequestRate
	first map[identifier.VMID]timekeeper.Time
	// passed is when each node first passed on an answer of a server with a limit.
	passed map[identifier.VMID]map[identifier.VMID]timekeeper.Time
	// arrivals are those that count, and all those of all nodes that are not excused
	// since the limit settled.
	arrivals map[identifier.VMID][]timekeeper.Time
	all      map[identifier.VMID][]timekeeper.Time
	harmed   map[identifier.VMID]timekeeper.Time
	// worst is the largest part of what is allowed that arrived in some span.
	worst float64
}

func newLimits() limits {
	return limits{
		rates:    map[identifier.VMID]identifier.RequestRate{},
		first:    map[identifier.VMID]timekeeper.Time{},
		passed:   map[identifier.VMID]map[identifier.VMID]timekeeper.Time{},
		arrivals: map[identifier.VMID][]timekeeper.Time{},
		all:      map[identifier.VMID][]timekeeper.Time{},
		harmed:   map[identifier.VMID]timekeeper.Time{},
	}
}

// limit lets a server state a limit for a while.
func (w *exchangeWorld) limit(server identifier.VMID, rate identifier.RequestRate) {
	w.at(limitFrom, func() {
		w.limits.rates[server] = rate
		w.limits.first[server] = w.now
		w.limits.passed[server] = map[identifier.VMID]timekeeper.Time{}
	})
	w.at(limitUntil, func() { delete(w.limits.rates, server) })
}

// limitArrival counts a request that reaches a server. The users count those of nodes that
// passed on the limit; the limit is one for all nodes, which have heard of it once it
// settled.
func (w *exchangeWorld) limitArrival(n *gatewayNode, server identifier.VMID) {
	l := &w.limits
	rate, limited := l.rates[server]
	if !limited || w.now.Sub(max(n.began, l.harmed[n.vm])) < excusedFor {
		return
	}
	settled := w.now.Sub(l.first[server]) >= limitSettles
	if settled {
		l.all[server] = append(l.all[server], w.now)
		w.checkLimit(server, rate, l.all[server])
	}
	passed, known := l.passed[server][n.vm]
	if !known || w.now.Sub(passed) < limitKnown {
		return
	}
	l.arrivals[server] = append(l.arrivals[server], w.now)
	if settled {
		w.checkLimit(server, rate, l.arrivals[server])
	}
}

func (w *exchangeWorld) checkLimit(server identifier.VMID, rate identifier.RequestRate, arrivals []timekeeper.Time) {
	count := within(arrivals, w.now.Add(1-limitSpan), limitSpan)
	allowed := limitFactor*float64(rate)*limitSpan.Seconds() + limitSlack
	w.limits.worst = max(w.limits.worst, float64(count)/allowed)
	if float64(count) > allowed {
		w.fault("%s, with a limit of %g a second, gets %d requests in %s", server, rate, count, limitSpan)
	}
}

// stateLimit tells a node what a server's answer states.
func (w *exchangeWorld) stateLimit(n *gatewayNode, server identifier.VMID, sent timekeeper.Time, result messenger.AttemptResult) {
	answered := result == messenger.AttemptComplete || result == messenger.AttemptFailed || result == messenger.AttemptRefused
	if !answered {
		return
	}
	rate, limited := w.limits.rates[server]
	if _, passed := w.limits.passed[server][n.vm]; limited && !passed {
		w.limits.passed[server][n.vm] = w.now
	}
	w.apply(n, messenger.ServerLimitReceived{
		Server: server,
		Sent:   sent,
		Limit: messenger.StatedLimit{
			Stated: limited,
			Rate:   rate,
		},
	})
}

// watchHarm notes which nodes are cut off or frozen.
func (w *exchangeWorld) watchHarm() {
	for _, n := range w.nodes {
		if n.cut || w.now.Before(n.frozen) {
			w.limits.harmed[n.vm] = w.now
		}
	}
	w.after(20, w.watchHarm)
}

// list tells a node which nodes there are, as the platform's list does.
func (w *exchangeWorld) list(n *gatewayNode) {
	w.after(100, func() {
		listed := messenger.ListRead{AsOf: w.now}
		for i := range w.size.nodes {
			listed.VMs = append(listed.VMs, messenger.VMState{
				VM:      exchangeNode(i),
				Address: string(exchangeNode(i)),
			})
		}
		w.apply(n, listed)
	})
}

// limitDay is a day on which servers state a limit.
type limitDay struct {
	name string
	size worldSize
	// limited is how many servers do, the first ones.
	limited int
	rate    identifier.RequestRate
}

func (d limitDay) world(t testing.TB, seed uint64) *exchangeWorld {
	w := newSizedWorld(t, seed, d.size)
	for i := range d.limited {
		w.limit(exchangeServer(i), d.rate)
	}
	w.watchHarm()
	return w
}

// fewNodes has more requests than servers may take, of nodes that all meet each server.
var fewNodes = worldSize{
	nodes:   6,
	servers: 6,
	every:   15,
	tokens:  1e6,
}

// manyNodes returns a world in which each node has few requests.
func manyNodes(nodes int) worldSize {
	return worldSize{
		nodes:   nodes,
		servers: 6,
		every:   2,
		tokens:  1e6,
		listed:  true,
	}
}

// Servers state a limit that holds for all nodes together, and each node sends as if it were alone.
func TestServersGetNoMoreThanTheLimitTheyState(t *testing.T) {
	for _, day := range []limitDay{
		{
			name:    "one server of six",
			size:    fewNodes,
			limited: 1,
			rate:    1,
		},
		{
			name:    "all servers",
			size:    fewNodes,
			limited: 6,
			rate:    1,
		},
		{
			name:    "large limits",
			size:    fewNodes,
			limited: 4,
			rate:    8,
		},
		{
			name:    "less than one request a second",
			size:    fewNodes,
			limited: 3,
			rate:    0.3,
		},
		{
			name:    "no request at all",
			size:    fewNodes,
			limited: 3,
			rate:    0,
		},
		{
			name:    "69 nodes",
			size:    manyNodes(69),
			limited: 6,
			rate:    1,
		},
		{
			name:    "300 nodes",
			size:    manyNodes(300),
			limited: 6,
			rate:    1,
		},
	} {
		if day.size.nodes > mostNodes {
			continue
		}
		t.Run(day.name, func(t *testing.T) {
			w := day.world(t, 1)
			w.run()
			require.Empty(t, w.faults)
			t.Logf("worst %.2f of what is allowed, %d answered, %d refused", w.limits.worst, w.answered, w.refused)
		})
	}
}

// Each fault of the matrix strikes while servers state limits: grants change hands, nodes restart, servers leave.
func TestLimitsHoldBesideFaults(t *testing.T) {
	steps := []timekeeper.Duration{6500, 9001, 12_345}
	for _, fault := range exchangeFaults {
		t.Run(fault.name, func(t *testing.T) {
			for i, step := range steps {
				for _, limited := range []int{2, 6} {
					if (2*i+limited/6)%playEvery != 0 {
						continue
					}
					day := limitDay{
						size:    fewNodes,
						limited: limited,
						rate:    1,
					}
					w := day.world(t, uint64(i))
					w.at(step, func() { fault.strike(w) })
					w.run()
					require.Empty(t, w.faults, "at %d, %d servers", step, limited)
				}
			}
		})
	}
}

// askPermit asks a peer for a permit, and passes its answer on.
func (w *exchangeWorld) askPermit(n *gatewayNode, e messenger.RequestPermit) {
	w.askPeer(n, question{
		address: e.Address,
		asked:   messenger.PermitRequested{Limits: e.Limits},
		answer: func(effect messenger.Effect) messenger.EventBody {
			a, ok := effect.(messenger.AnswerPermit)
			if !ok {
				return nil
			}
			a.Answer.Exchange = e.Exchange
			return a.Answer
		},
		silence: messenger.PermitAnswered{
			Exchange: e.Exchange,
			Unknown:  true,
		},
	})
}

// arrived returns how many requests reached servers in each second of settled limits.
func (w *exchangeWorld) arrived() float64 {
	sum := 0
	for _, arrivals := range w.limits.all {
		sum += len(arrivals)
	}
	return float64(sum) / (limitUntil - limitFrom - limitSettles).Seconds()
}

// Callers are refused while their servers have room left within the limits.
func TestLimitsAreUsed(t *testing.T) {
	for _, nodes := range []int{6, 69, 300} {
		if nodes > mostNodes {
			continue
		}
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			size := manyNodes(nodes)
			size.servers = 4
			day := limitDay{
				size:    size,
				limited: 4,
				rate:    8,
			}
			w := day.world(t, 1)
			w.run()
			require.Empty(t, w.faults)
			t.Logf("%.1f requests a second of %g", w.arrived(), float64(day.limited)*float64(day.rate))
			require.Greater(t, w.arrived(), 0.7*float64(day.limited)*float64(day.rate))
		})
	}
}

// A limit that is over still holds requests back, since few of them would learn of its end.
func TestLiftedLimitFreesServer(t *testing.T) {
	for _, rate := range []identifier.RequestRate{0, 1} {
		t.Run(fmt.Sprintf("%g a second", rate), func(t *testing.T) {
			day := limitDay{
				size:    fewNodes,
				limited: 6,
				rate:    rate,
			}
			w := day.world(t, 1)
			refused := 0
			w.at(exchangeDay-1, func() { refused = w.refused - refused })
			w.at(exchangeDay-2000, func() { refused = w.refused })
			w.run()
			require.Empty(t, w.faults)
			require.Zero(t, refused, "in the last two seconds")
		})
	}
}
