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

// firstKept is the oldest offset that the log of a cluster keeps: what it had before
// has expired, so that a folder of settings may be restored.
const firstKept identifier.Offset = 42

// cluster is some nodes with one log and messages between them.
type cluster struct {
	t     *testing.T
	now   timekeeper.Time
	nodes map[identifier.VMID]*member
	ids   []identifier.VMID
	log   []logged
	mail  []message
	// ended are the servers whose process is gone, and under how many there were of
	// each content.
	ended map[identifier.VMID]bool
	under map[identifier.ContentHash]int
	specs map[identifier.RequestID]messenger.RequestSpec
	// told is how each request was ended.
	told map[identifier.RequestID]messenger.Refusal
}

// member is a node of a cluster.
type member struct {
	r *reducer.Reducer
	// read is how many records it has read, of all streams.
	read int
	cut  bool
}

type logged struct {
	stream identifier.LogStream
	record messenger.Record
}

type message struct {
	to   identifier.VMID
	body messenger.EventBody
}

// newCluster returns nodes that have met, with the settings of the examples and their
// servers.
func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	c := &cluster{
		t:     t,
		now:   start,
		nodes: map[identifier.VMID]*member{},
		ended: map[identifier.VMID]bool{},
		under: map[identifier.ContentHash]int{},
		specs: map[identifier.RequestID]messenger.RequestSpec{},
		told:  map[identifier.RequestID]messenger.Refusal{},
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

// startNode starts a node's process, which knows nothing.
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
		c.perform(id, n, e)
	}
}

func (c *cluster) perform(id identifier.VMID, n *member, effect messenger.Effect) {
	switch e := effect.(type) {
	case messenger.SendGossip:
		c.send(n, e.Address, messenger.GossipReceived{
			From: id,
			Data: e.Data,
		})
	case messenger.SendStateUpdate:
		c.send(n, e.Address, messenger.StateUpdateReceived{
			From:   id,
			Update: e.Update,
		})
	case messenger.AppendRecord:
		if n.cut {
			return
		}
		c.log = append(c.log, logged{
			stream: e.Stream,
			record: messenger.Record{
				Offset:   firstKept + identifier.Offset(len(c.log)),
				Appended: c.now,
				Data:     e.Data,
			},
		})
		c.mail = append(c.mail, message{
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
		c.serve(id, e)
	case messenger.Refuse:
		c.told[e.Request] = e.Refusal
	case messenger.Finish:
		c.told[e.Request] = messenger.Refusal{
			Reason:     e.Reason,
			Outcome:    e.Outcome,
			RetryAfter: e.RetryAfter,
		}
	}
}

func (c *cluster) send(n *member, address string, body messenger.EventBody) {
	if !n.cut {
		c.mail = append(c.mail, message{
			to:   identifier.VMID(address),
			body: body,
		})
	}
}

// serve lets the server of an attempt end under it, or tells that it has ended.
func (c *cluster) serve(id identifier.VMID, e messenger.SendAttempt) {
	end := messenger.AttemptEnded{
		Request:     e.Request,
		Attempt:     e.Attempt,
		Result:      messenger.AttemptNotSent,
		ServerEnded: true,
	}
	if !c.ended[e.Server] {
		c.ended[e.Server] = true
		c.under[c.specs[e.Request].Content]++
		end.Result = messenger.AttemptBroken
	}
	c.mail = append(c.mail, message{
		to:   id,
		body: end,
	})
}

// run lets time pass. A node that is cut off hears nobody and reads no log.
func (c *cluster) run(span timekeeper.Duration) {
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(messenger.TickInterval) {
		mail := c.mail
		c.mail = nil
		for _, m := range mail {
			if n := c.nodes[m.to]; n != nil && (!n.cut || isOwn(m.body)) {
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

// isOwn reports whether an event is of a node's own attempts.
func isOwn(body messenger.EventBody) bool {
	_, own := body.(messenger.AttemptEnded)
	return own
}

func (c *cluster) readLog(id identifier.VMID) {
	n := c.nodes[id]
	if n.cut {
		return
	}
	for _, stream := range n.r.Streams() {
		read := messenger.LogRead{
			Stream: stream,
			First:  firstKept,
			End:    true,
		}
		for _, l := range c.log[n.read:] {
			if l.stream == stream {
				read.Records = append(read.Records, l.record)
			}
		}
		c.apply(id, read)
	}
	n.read = len(c.log)
}

// ask sends a request to a node and waits for its end.
func (c *cluster) ask(id identifier.VMID, spec messenger.RequestSpec) messenger.Refusal {
	spec.Request = identifier.RequestID(fmt.Sprintf("r-%d", len(c.specs)))
	spec.EntryNode = id
	spec.Received = c.now
	spec.Deadline = c.now.Add(20 * timekeeper.Second)
	c.specs[spec.Request] = spec
	c.apply(id, messenger.RequestReceived{Spec: spec})
	for range 400 {
		if told, ended := c.told[spec.Request]; ended {
			return told
		}
		c.run(messenger.TickInterval)
	}
	c.t.Fatalf("%s has no end", spec.Request)
	return messenger.Refusal{}
}

// ownRequests are requests of each kind that the product's own interface has: of a
// model, a plain one, and one that may run once under its key.
var ownRequests = []messenger.RequestSpec{
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

// A request ends each server that runs it, on the product's own interface. Its caller
// gets its answer after some servers, and sends it again to another node, a keyed one
// under another key. Each node gave it up to eight servers each time. After the third
// it gets none at any node, also at one that was cut off meanwhile, and after a loss
// of all; the caller hears at once that it need not come back soon.
func TestOwnRequestThatEndsServers(t *testing.T) {
	for _, spec := range ownRequests {
		t.Run(string(spec.Service), func(t *testing.T) {
			c := newCluster(t, 4)
			c.nodes["entry-3"].cut = true
			var told messenger.Refusal
			for i := range 6 {
				if spec.Key != "" {
					spec.Key = identifier.IdempotencyKey(fmt.Sprintf("k-%d", i))
				}
				told = c.ask(c.ids[i%3], spec)
				c.run(timekeeper.Second)
			}
			require.Equal(t, 3, c.under[spec.Content])
			require.Equal(t, messenger.ReasonServersEnded, told.Reason)
			require.NotEqual(t, messenger.Done, told.Outcome)
			require.GreaterOrEqual(t, told.RetryAfter, timekeeper.Minute)

			c.nodes["entry-3"].cut = false
			c.run(2 * timekeeper.Second)
			spec.Key += "-later"
			require.Equal(t, messenger.ReasonServersEnded, c.ask("entry-3", spec).Reason)

			for _, id := range c.ids {
				c.startNode(id)
			}
			c.run(3 * timekeeper.Second)
			spec.Key += "-again"
			require.Equal(t, messenger.ReasonServersEnded, c.ask("entry-1", spec).Reason)
			require.Equal(t, 3, c.under[spec.Content])
		})
	}
}
