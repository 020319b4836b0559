package gauger

import (
	"fmt"
	"runtime"
	"strings"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// fleetStart is the virtual time at which every fleet starts.
	fleetStart timekeeper.Time = 1_780_000_000_000
	// listInterval is the time between reads of the VM list, emptyReadInterval
	// the time between log reads while there are no new records; both are as in
	// the runner.
	listInterval      = 1 * timekeeper.Second
	emptyReadInterval = 5 * timekeeper.Second
	// Every node but the first receives a request every requestInterval, from
	// accountsPerShard accounts in turn, so that peers have demand to report.
	requestInterval  = 200 * timekeeper.Millisecond
	accountsPerShard = 5
	// maxParallel bounds the reducers that run concurrently.
	maxParallel = 4
)

// Fleet runs one reducer for each node in virtual time, with a simulated VM
// list, log and backend servers. Messages and responses are delivered one step
// after they are sent.
type Fleet struct {
	size    Size
	now     timekeeper.Time
	vms     []messenger.VMState
	members []*member
	byVM    map[identifier.VMID]*member
	log     []logRecord
	// appends counts the records appended by all nodes.
	appends int
	// verdict is the result of the last proposed change.
	verdict messenger.ChangeVerdict
}

type logRecord struct {
	stream identifier.LogStream
	messenger.Record
}

// member is one node of a fleet.
type member struct {
	config      reducer.Config
	reducer     *reducer.Reducer
	inbox       []messenger.EventBody
	effects     []messenger.Effect
	recordsRead int
	// events holds all events so far if recordEvents is set.
	events       []messenger.Event
	recordEvents bool

	gossipOut traffic
	gossipIn  traffic
	polls     int
	requests  int
}

type traffic struct {
	messages int
	bytes    int
}

func (t *traffic) add(data []byte) {
	t.messages++
	t.bytes += len(data)
}

// NewFleet returns a fleet of newly started nodes. The first node records its
// events for replay.
func NewFleet(s Size) *Fleet {
	f := &Fleet{
		size: s,
		now:  fleetStart,
		vms:  vmList(s),
		byVM: map[identifier.VMID]*member{},
	}
	for i := range s.Nodes {
		c := nodeConfig(i)
		m := &member{
			config:       c,
			reducer:      reducer.New(c),
			recordEvents: i == 0,
		}
		f.members = append(f.members, m)
		f.byVM[c.Self] = m
	}
	return f
}

func nodeConfig(i int) reducer.Config {
	return reducer.Config{
		Self:          identifier.VMID(fmt.Sprintf("entry-%04d", i)),
		Incarnation:   identifier.Incarnation(fleetStart) + identifier.Incarnation(i),
		Zone:          zoneOf(i),
		Region:        "region-0",
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		Seed:          uint64(i) + 1,
		Safeguards:    conductor.AllSafeguards(),
	}
}

// vmList returns the VM list of a fleet.
func vmList(s Size) []messenger.VMState {
	var vms []messenger.VMState
	for i := range s.Nodes {
		c := nodeConfig(i)
		vms = append(vms, messenger.VMState{
			VM:      c.Self,
			Zone:    c.Zone,
			Class:   "small",
			Market:  catalog.Reclaimable,
			Address: c.PeerAddress,
		})
	}
	for i := range s.Servers {
		vms = append(vms, messenger.VMState{
			VM:      identifier.VMID(fmt.Sprintf("engine-%04d", i)),
			Zone:    zoneOf(i),
			Class:   "engine",
			Market:  catalog.Reclaimable,
			Pool:    poolOf(i, s),
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
		})
	}
	return vms
}

// Run advances the virtual time by at least d.
func (f *Fleet) Run(d timekeeper.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.step()
	}
}

// step runs one tick: it delivers the messages of the previous tick, applies
// the events at all nodes, and executes their effects in node order.
func (f *Fleet) step() {
	f.now = f.now.Add(messenger.TickInterval)
	for i, m := range f.members {
		f.deliver(i, m)
	}
	f.applyEvents()
	for i, m := range f.members {
		for _, e := range m.effects {
			f.execute(i, m, e)
		}
		m.effects = nil
	}
}

// deliver queues the VM list, log reads and a request for a node when they are
// due. The nodes' schedules are offset from one another.
func (f *Fleet) deliver(i int, m *member) {
	tick := int(f.now.Sub(fleetStart) / messenger.TickInterval)
	if (tick+i)%int(listInterval/messenger.TickInterval) == 0 {
		m.inbox = append(m.inbox, messenger.ListRead{
			AsOf: f.now,
			VMs:  f.vms,
		})
	}
	emptyReadDue := (tick+i)%int(emptyReadInterval/messenger.TickInterval) == 0
	if m.recordsRead < len(f.log) || emptyReadDue {
		m.inbox = append(m.inbox, f.logReads(m)...)
	}
	phase := tick % int(requestInterval/messenger.TickInterval)
	if i > 0 && phase == i%int(requestInterval/messenger.TickInterval) && m.reducer.Catalog() != nil {
		m.inbox = append(m.inbox, messenger.RequestReceived{Spec: f.nextRequest(i, m)})
	}
}

// nextRequest returns the next request from a node's shard of accounts.
func (f *Fleet) nextRequest(i int, m *member) messenger.RequestSpec {
	m.requests++
	return messenger.RequestSpec{
		Request:      identifier.RequestID(fmt.Sprintf("%s-%08d", m.config.Self, m.requests)),
		Account:      accountName((i + m.requests%accountsPerShard) % accountCount(f.size)),
		Service:      shortService,
		Idempotent:   true,
		EntryNode:    m.config.Self,
		Received:     f.now,
		Deadline:     f.now.Add(timekeeper.Minute),
		PromptTokens: promptTokens,
		MaxTokens:    answerTokens,
	}
}

// logReads returns one read for each stream with the records that a node has
// not read.
func (f *Fleet) logReads(m *member) []messenger.EventBody {
	byStream := map[identifier.LogStream][]messenger.Record{}
	for _, r := range f.log[m.recordsRead:] {
		byStream[r.stream] = append(byStream[r.stream], r.Record)
	}
	m.recordsRead = len(f.log)
	var reads []messenger.EventBody
	for _, s := range m.reducer.Streams() {
		reads = append(reads, messenger.LogRead{
			Stream:  s,
			First:   1,
			Records: byStream[s],
			End:     true,
		})
	}
	return reads
}

// applyEvents applies the queued events and a tick at every node.
func (f *Fleet) applyEvents() {
	next := make(chan *member)
	var done sync.WaitGroup
	for range min(maxParallel, runtime.GOMAXPROCS(0)) {
		done.Go(func() {
			for m := range next {
				m.applyEvents(f.now)
			}
		})
	}
	for _, m := range f.members {
		next <- m
	}
	close(next)
	done.Wait()
}

func (m *member) applyEvents(now timekeeper.Time) {
	inbox := append(m.inbox, messenger.Tick{})
	m.inbox = nil
	for _, body := range inbox {
		e := messenger.Event{
			At:   now,
			Body: body,
		}
		if m.recordEvents {
			m.events = append(m.events, e)
		}
		m.effects = append(m.effects, m.reducer.Apply(e)...)
	}
}

// execute simulates an effect as far as the gauges need it.
func (f *Fleet) execute(i int, m *member, e messenger.Effect) {
	switch e := e.(type) {
	case messenger.SendGossip:
		m.gossipOut.add(e.Data)
		if to, known := f.byVM[e.Peer]; known {
			to.gossipIn.add(e.Data)
			to.inbox = append(to.inbox, messenger.GossipReceived{
				From: m.config.Self,
				Data: e.Data,
			})
		}
	case messenger.PollServer:
		m.polls++
		m.inbox = append(m.inbox, messenger.LoadReported{
			Server: e.Server,
			Load:   loadAt(f.now, i),
		})
	case messenger.SendAttempt:
		m.inbox = append(m.inbox, messenger.AttemptEnded{
			Request:   e.Request,
			Attempt:   e.Attempt,
			Result:    messenger.AttemptComplete,
			Delivered: answerTokens,
		})
	case messenger.ReplyOperator:
		f.verdict = e.Verdict
	case messenger.AppendRecord:
		f.appends++
		f.append(e.Stream, e.Data)
	}
}

func (f *Fleet) append(s identifier.LogStream, data []byte) {
	f.log = append(f.log, logRecord{
		stream: s,
		Record: messenger.Record{
			Offset:   identifier.Offset(len(f.log) + 1),
			Appended: f.now,
			Data:     data,
		},
	})
}

func loadAt(now timekeeper.Time, i int) messenger.ServerLoad {
	return messenger.ServerLoad{
		AsOf:            now,
		Running:         40 + i%20,
		Slots:           serverSlots,
		FreeKVTokens:    400_000,
		TokensPerSecond: 30,
		Model:           "reader-large",
	}
}

// Configure applies the configuration for the fleet's size and waits until all
// nodes have it. Its error is a *NotReadyError.
func (f *Fleet) Configure() error {
	for _, file := range configurationFiles(f.size) {
		f.members[0].inbox = append(f.members[0].inbox, messenger.ChangeProposed{
			Ticket:  1,
			File:    file.name,
			Content: []byte(file.content),
		})
		f.verdict = messenger.ChangeVerdict{}
		f.Run(4 * messenger.TickInterval)
		if !f.verdict.Accepted {
			return &NotReadyError{
				Node:   f.members[0].config.Self,
				Reason: fmt.Sprintf("%s not accepted: %s", file.name, strings.Join(f.verdict.Faults, "; ")),
			}
		}
	}
	want := f.members[0].reducer.Catalog()
	for _, m := range f.members {
		c := m.reducer.Catalog()
		if c == nil || len(c.Accounts) == 0 || c.Revision != want.Revision {
			return &NotReadyError{
				Node:   m.config.Self,
				Reason: "configuration",
			}
		}
	}
	return nil
}

// CheckMembership returns a *NotReadyError if a node does not know all others.
func (f *Fleet) CheckMembership() error {
	for _, m := range f.members {
		if len(m.reducer.Nodes()) != f.size.Nodes {
			return &NotReadyError{
				Node:   m.config.Self,
				Reason: fmt.Sprintf("%d of %d nodes", len(m.reducer.Nodes()), f.size.Nodes),
			}
		}
	}
	return nil
}

// NotReadyError reports that a fleet has not reached the state to be measured.
type NotReadyError struct {
	Node   identifier.VMID
	Reason string
}

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("node %s is not ready: %s", e.Node, e.Reason)
}

var _ error = (*NotReadyError)(nil)

// warmUpTime is the virtual time that a fleet runs before it is measured.
const warmUpTime = 12 * timekeeper.Second

// startFleet returns a configured fleet with complete membership on all nodes.
func startFleet(s Size) (*Fleet, error) {
	f := NewFleet(s)
	f.Run(2 * timekeeper.Second)
	if err := f.Configure(); err != nil {
		return nil, err
	}
	f.Run(warmUpTime)
	if err := f.CheckMembership(); err != nil {
		return nil, err
	}
	return f, nil
}

// replayFirstNode rebuilds the reducer of the first node from its recorded
// events. This is possible because a reducer's state depends only on them.
func (f *Fleet) replayFirstNode() *reducer.Reducer {
	m := f.members[0]
	r := reducer.New(m.config)
	for _, e := range m.events {
		r.Apply(e)
	}
	return r
}
