package reducer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// firstOffset is the oldest offset in the log of a cluster. It is above one, as if
// older records had expired, so that settings may be restored.
const firstOffset identifier.Offset = 42

// cluster is a simulated cluster with one log and messages between the nodes.
type cluster struct {
	t        *testing.T
	now      timekeeper.Time
	nodes    map[identifier.VMID]*member
	ids      []identifier.VMID
	records  []logEntry
	inFlight []message
	// endedServers are the servers that ended, and endsByContent is the number of them
	// by the content of the request that they ran.
	endedServers  map[identifier.VMID]bool
	endsByContent map[identifier.ContentHash]int
	specs         map[identifier.RequestID]messenger.RequestSpec
	// outcomes are the results of the ended requests.
	outcomes map[identifier.RequestID]messenger.Refusal
}

// member is a node of a cluster.
type member struct {
	r *reducer.Reducer
	// recordsRead is the number of log records, of all streams, that the node has read.
	recordsRead int
	partitioned bool
}

type logEntry struct {
	stream identifier.LogStream
	record messenger.Record
}

type message struct {
	to   identifier.VMID
	body messenger.EventBody
}

// newCluster returns nodes that know each other, with the example settings and servers.
func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	c := &cluster{
		t:             t,
		now:           start,
		nodes:         map[identifier.VMID]*member{},
		endedServers:  map[identifier.VMID]bool{},
		endsByContent: map[identifier.ContentHash]int{},
		specs:         map[identifier.RequestID]messenger.RequestSpec{},
		outcomes:      map[identifier.RequestID]messenger.Refusal{},
	}
	for i := range nodes {
		c.ids = append(c.ids, identifier.VMID(fmt.Sprintf("entry-%d", i)))
	}
	for _, id := range c.ids {
		c.startNode(id)
	}
	files, err := folderreader.ReadDir("../../examples/quillmark")
	require.NoError(t, err)
	c.run(timekeeper.Second)
	c.apply("entry-0", messenger.ChangeProposed{
		Ticket:  1,
		Restore: files,
	})
	c.run(2 * timekeeper.Second)
	require.NotNil(t, c.nodes["entry-1"].r.Catalog())
	return c
}

// startNode starts a new process of a node.
func (c *cluster) startNode(id identifier.VMID) {
	c.nodes[id] = &member{r: reducer.New(reducer.Config{
		Self:        id,
		Incarnation: identifier.Incarnation(c.now),
		Zone:        "boston-a",
		PeerAddress: string(id),
		Partitions:  1,
		Seed:        uint64(len(c.ids)),
		Seeds:       []string{"entry-0", "entry-1"},
		Safeguards:  conductor.AllSafeguards(),
	})}
}

func (c *cluster) apply(id identifier.VMID, body messenger.EventBody) {
	n := c.nodes[id]
	for _, e := range n.r.Apply(messenger.Event{
		At:   c.now,
		Body: body,
	}) {
		c.carryOut(id, n, e)
	}
}

func (c *cluster) carryOut(id identifier.VMID, n *member, effect messenger.Effect) {
	switch e := effect.(type) {
	case messenger.SendGossip:
		c.post(n, e.Address, messenger.GossipReceived{
			From: id,
			Data: e.Data,
		})
	case messenger.SendStateUpdate:
		c.post(n, e.Address, messenger.StateUpdateReceived{
			From:   id,
			Update: e.Update,
		})
	case messenger.AppendRecord:
		if n.partitioned {
			return
		}
		c.records = append(c.records, logEntry{
			stream: e.Stream,
			record: messenger.Record{
				Offset:   firstOffset + identifier.Offset(len(c.records)),
				Appended: c.now,
				Data:     e.Data,
			},
		})
		c.inFlight = append(c.inFlight, message{
			to: id,
			body: messenger.AppendEnded{
				Ticket: e.Ticket,
				Stream: e.Stream,
				OK:     true,
			},
		})
	case messenger.Hold:
		c.apply(id, messenger.HoldAcked{
			Request: e.Request,
			Holder:  e.Holder,
		})
	case messenger.SendAttempt:
		c.runAttempt(id, e)
	case messenger.Refuse:
		c.outcomes[e.Request] = e.Refusal
	case messenger.Finish:
		c.outcomes[e.Request] = messenger.Refusal{
			Reason:     e.Reason,
			Outcome:    e.Outcome,
			RetryAfter: e.RetryAfter,
		}
	}
}

func (c *cluster) post(n *member, address string, body messenger.EventBody) {
	if !n.partitioned {
		c.inFlight = append(c.inFlight, message{
			to:   identifier.VMID(address),
			body: body,
		})
	}
}

// runAttempt makes the server of an attempt end under it, or rejects the attempt if the
// server has already ended.
func (c *cluster) runAttempt(id identifier.VMID, e messenger.SendAttempt) {
	end := messenger.AttemptEnded{
		Request:     e.Request,
		Attempt:     e.Attempt,
		Result:      messenger.AttemptNotSent,
		ServerEnded: true,
	}
	if !c.endedServers[e.Server] {
		c.endedServers[e.Server] = true
		c.endsByContent[c.specs[e.Request].Content]++
		end.Result = messenger.AttemptBroken
	}
	c.inFlight = append(c.inFlight, message{
		to:   id,
		body: end,
	})
}

// run advances the time. A partitioned node receives no messages and reads no log.
func (c *cluster) run(span timekeeper.Duration) {
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(messenger.TickInterval) {
		delivered := c.inFlight
		c.inFlight = nil
		for _, m := range delivered {
			if n := c.nodes[m.to]; n != nil && (!n.partitioned || isOwn(m.body)) {
				c.apply(m.to, m.body)
			}
		}
		for _, id := range c.ids {
			c.readLog(id)
			c.apply(id, messenger.ListRead{
				AsOf: c.now,
				VMs:  serverList(),
			})
			c.apply(id, messenger.Tick{})
		}
	}
}

// isOwn reports whether an event concerns a node's own attempts.
func isOwn(body messenger.EventBody) bool {
	_, own := body.(messenger.AttemptEnded)
	return own
}

func (c *cluster) readLog(id identifier.VMID) {
	n := c.nodes[id]
	if n.partitioned {
		return
	}
	for _, stream := range n.r.Streams() {
		read := messenger.LogRead{
			Stream: stream,
			First:  firstOffset,
			End:    true,
		}
		for _, l := range c.records[n.recordsRead:] {
			if l.stream == stream {
				read.Records = append(read.Records, l.record)
			}
		}
		c.apply(id, read)
	}
	n.recordsRead = len(c.records)
}

// send sends a request to a node and returns its outcome.
func (c *cluster) send(id identifier.VMID, spec messenger.RequestSpec) messenger.Refusal {
	spec.Request = identifier.RequestID(fmt.Sprintf("r-%d", len(c.specs)))
	spec.EntryNode = id
	spec.Received = c.now
	spec.Deadline = c.now.Add(20 * timekeeper.Second)
	c.specs[spec.Request] = spec
	c.apply(id, messenger.RequestReceived{Spec: spec})
	for range 400 {
		if outcome, ended := c.outcomes[spec.Request]; ended {
			return outcome
		}
		c.run(messenger.TickInterval)
	}
	c.t.Fatalf("%s did not end", spec.Request)
	return messenger.Refusal{}
}

// testRequests are requests of each kind: to a model, without a model, and with an
// idempotency key.
var testRequests = []messenger.RequestSpec{
	{
		Account:      "portal",
		Service:      "genre_tag",
		Idempotent:   true,
		PromptTokens: 100,
		MaxTokens:    20,
		Content:      1,
	},
	{
		Account:    "portal",
		Service:    "portal_lookup",
		Idempotent: true,
		Content:    2,
	},
	{
		Account: "portal",
		Service: "rejection_email",
		Key:     "k",
		Content: 3,
	},
}

// Guards against a query of death that ends more than three servers because its caller retries it
// at other nodes, at a formerly partitioned one, or after the loss of all nodes.
func TestQueryOfDeathIsRefusedByAllNodes(t *testing.T) {
	for _, spec := range testRequests {
		t.Run(string(spec.Service), func(t *testing.T) {
			c := newCluster(t, 4)
			c.nodes["entry-3"].partitioned = true
			var outcome messenger.Refusal
			for i := range 6 {
				if spec.Key != "" {
					spec.Key = identifier.IdempotencyKey(fmt.Sprintf("k-%d", i))
				}
				outcome = c.send(c.ids[i%3], spec)
				c.run(timekeeper.Second)
			}
			require.Equal(t, 3, c.endsByContent[spec.Content])
			require.Equal(t, messenger.ReasonServersEnded, outcome.Reason)
			require.NotEqual(t, messenger.Done, outcome.Outcome)
			require.GreaterOrEqual(t, outcome.RetryAfter, timekeeper.Minute)

			c.nodes["entry-3"].partitioned = false
			c.run(2 * timekeeper.Second)
			spec.Key += "-later"
			require.Equal(t, messenger.ReasonServersEnded, c.send("entry-3", spec).Reason)

			for _, id := range c.ids {
				c.startNode(id)
			}
			c.run(3 * timekeeper.Second)
			spec.Key += "-again"
			require.Equal(t, messenger.ReasonServersEnded, c.send("entry-1", spec).Reason)
			require.Equal(t, 3, c.endsByContent[spec.Content])
		})
	}
}
