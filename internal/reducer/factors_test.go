package reducer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	unevenNodes   = 82
	unevenServers = 144
	// unevenRequests is the number of requests that each node gets a second.
	unevenRequests = 6
	// promptTime and answerTime are the times to the first event of a server whose factor is 1, and
	// from there to the last event.
	promptTime = 150 * timekeeper.Millisecond
	answerTime = 1800 * timekeeper.Millisecond
)

// unevenCluster is a cluster whose servers differ in speed, every third being slower than
// the others.
type unevenCluster struct {
	*cluster
	rng   *rand.Rand
	next  identifier.ExchangeID
	later map[timekeeper.Time][]func()
	// updateBytes is the size of the state updates sent.
	updateBytes identifier.Bytes
}

func newUnevenCluster(sharedRates bool) *unevenCluster {
	c := &unevenCluster{
		cluster: newClusterOf(unevenNodes, GatewayConfig{SharedRates: sharedRates}),
		rng:     rand.New(rand.NewPCG(1, 2)),
		later:   map[timekeeper.Time][]func(){},
	}
	c.run(6 * timekeeper.Second)
	c.publishAndSend()
	var entries []messenger.PublishedServer
	for i := range unevenServers {
		entries = append(entries, messenger.PublishedServer{
			Server:  identifier.ServerStart(identifier.InstanceID(fmt.Sprintf("i-%012x", i)), 1_787_197_202_508),
			Offset:  identifier.Offset(10 + i),
			Service: "reader",
			Address: fmt.Sprint(i),
			Zone:    identifier.Zone(fmt.Sprintf("zone-%d", i%clusterZones)),
			Slots:   32,
			State:   messenger.ServerReady,
		})
	}
	c.apply(c.ids[0], messenger.ServersPublished{
		Servers: entries,
		All:     true,
	})
	c.run(2 * timekeeper.Second)
	return c
}

// serve sends requests to the nodes for a time.
func (c *unevenCluster) serve(span timekeeper.Duration) {
	for end := c.now.Add(span); c.now.Before(end); {
		for _, run := range c.later[c.now] {
			run()
		}
		delete(c.later, c.now)
		for _, id := range c.ids {
			if c.rng.Float64() < unevenRequests*float64(stepTime)/float64(timekeeper.Second) {
				c.request(id)
			}
		}
		for _, m := range c.inFlight {
			if u, ok := m.body.(messenger.StateUpdateReceived); ok {
				c.updateBytes += relayer.UpdateSize(u.Update)
			}
		}
		c.run(stepTime)
	}
}

// request sends a request to a node, which gets its answer from the server that it chose.
func (c *unevenCluster) request(id identifier.VMID) {
	c.next++
	exchange := 1_000_000 + c.next
	effects := c.nodes[id].Apply(messenger.Event{
		At: c.now,
		Body: messenger.ExchangeReceived{
			Spec: messenger.ExchangeSpec{
				Exchange:     exchange,
				Request:      identifier.RequestID(fmt.Sprint(exchange)),
				Host:         "api.example",
				Path:         "/report/",
				Received:     c.now,
				PromptTokens: 6000,
			},
		},
	})
	for _, e := range effects {
		send, ok := e.(messenger.SendExchange)
		if !ok {
			continue
		}
		factor := 0.7
		if server, err := strconv.Atoi(send.Address); err == nil && server%3 == 0 {
			factor = 1.7
		}
		first := timekeeper.Duration(factor*float64(promptTime)) / stepTime * stepTime
		c.at(c.now.Add(first), func() {
			c.apply(id, messenger.ExchangeBegan{
				Exchange: exchange,
				Attempt:  send.Attempt,
			})
		})
		c.at(c.now.Add(first+answerTime), func() {
			c.apply(id, messenger.ExchangeEnded{
				Exchange: exchange,
				Result:   messenger.AttemptComplete,
			})
		})
	}
}

func (c *unevenCluster) at(t timekeeper.Time, run func()) { c.later[t] = append(c.later[t], run) }

// Guards against nodes that do not learn factors, and updates that grow by over a tenth.
func TestFactorsReachAllNodes(t *testing.T) {
	bytes := map[bool]identifier.Bytes{}
	for _, sharedRates := range []bool{false, true} {
		c := newUnevenCluster(sharedRates)
		c.serve(6 * timekeeper.Second)
		bytes[sharedRates] = c.updateBytes
		lowest := unevenServers
		for _, id := range c.ids {
			status := c.nodes[id].ServerFactors().Services["reader"]
			lowest = min(lowest, status.Servers)
			if sharedRates {
				require.Less(t, status.Lowest, 0.9, "at %s", id)
				require.Greater(t, status.Highest, 1.3, "at %s", id)
			}
		}
		t.Logf("shared %t: %d bytes of updates, evidence of %d servers or more at each node", sharedRates, c.updateBytes, lowest)
		require.Equal(t, sharedRates, lowest > unevenServers*9/10)
	}
	require.LessOrEqual(t, float64(bytes[true]), 1.1*float64(bytes[false]))
}
