package dispatcher

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// slotGroupServers is the number of servers of a service up to which one node allocates the
	// slots of all. Beyond it they are divided into groups, each with a node of its own.
	slotGroupServers = 32
	// maxSlotServers bounds the servers that one request for a slot lists.
	maxSlotServers = 32
	// maxSlotRequests is the number of nodes that are asked for a slot before a request is
	// refused for want of room.
	maxSlotRequests = 2
)

// slotRequest is the state of one exchange that requires a slot at a brittle server.
type slotRequest struct {
	// servers are those of the request in flight, and eligible those among which the first of
	// them was chosen.
	servers  []identifier.VMID
	eligible []identifier.VMID
	// full are the servers that had no slot.
	full []identifier.VMID
	// count is the number of requests.
	count int
}

// slots is this node's knowledge of the slots that it uses at brittle servers.
type slots struct {
	// received counts the slots that were granted to this node.
	received map[identifier.VMID]uint64
	sequence uint64
	// ended are the servers at which requests have ended since the last report.
	ended map[identifier.VMID]bool
	// rejected are the servers that have rejected requests since the last report.
	rejected map[identifier.VMID]bool
	// unreachableUntil holds the allocators that did not answer.
	unreachableUntil map[identifier.VMID]timekeeper.Time
}

func newSlots() slots {
	return slots{
		received:         map[identifier.VMID]uint64{},
		ended:            map[identifier.VMID]bool{},
		rejected:         map[identifier.VMID]bool{},
		unreachableUntil: map[identifier.VMID]timekeeper.Time{},
	}
}

// slotGroup returns the name of the group of servers whose slots one node allocates. The
// number of groups is a power of two, so that it seldom changes.
func slotGroup(env Env, s *registrar.Server) string {
	count := len(env.Servers.ServersOf(s.Service))
	groups := uint64(1) << bits.Len(uint(max(count-1, 0)/slotGroupServers))
	return string(s.Service) + "/" + strconv.FormatUint(xxhash.Sum64String(string(s.Server))%groups, 10)
}

// placeBrittle sends an exchange to a server with a free slot in the group of the chosen one, or
// requests a slot from the node that allocates those of the group.
func (d *Dispatcher) placeBrittle(env Env, x *exchange, c choice) (messenger.Effect, bool) {
	group := slotGroup(env, c.server)
	ranked := d.rankedInGroup(env, x, c, group)
	allocator := env.SlotAllocator(group)
	hasSlot := d.hasSlot
	if allocator != nil {
		if !env.Now.Before(d.slots.unreachableUntil[allocator.Node]) {
			return d.requestSlot(env, x, ranked, allocator), true
		}
		hasSlot = func(env Env, s *registrar.Server) bool {
			return d.ownRunning(s.Server) < env.OwnSlots(group, d.slotCount(env, s))
		}
	}
	for _, o := range ranked {
		if hasSlot(env, o.server) {
			return d.send(env, x, o), true
		}
		x.slotRequest.full = append(x.slotRequest.full, o.server.Server)
	}
	return nil, false
}

// rankedInGroup returns the choices for an exchange in one group whose servers state no limit, c
// first and then the best, among the servers from which c was chosen.
func (d *Dispatcher) rankedInGroup(env Env, x *exchange, c choice, group string) []choice {
	others := d.ranked(env, x, c.servers, func(s *registrar.Server) bool {
		_, limited := env.Limits.Rate(s.Server)
		return !limited && s.Server != c.server.Server && slotGroup(env, s) == group
	})
	return append([]choice{c}, others...)
}

func (d *Dispatcher) requestSlot(env Env, x *exchange, ranked []choice, allocator *Allocator) messenger.Effect {
	r := &x.slotRequest
	r.servers = nil
	for _, o := range ranked[:min(len(ranked), maxSlotServers)] {
		r.servers = append(r.servers, o.server.Server)
	}
	r.eligible = nil
	for _, s := range ranked[0].servers {
		r.eligible = append(r.eligible, s.Server)
	}
	r.count++
	return messenger.RequestSlot{
		Exchange: x.spec.Exchange,
		Address:  allocator.Address,
		Report:   d.slotReport(env, r.servers),
	}
}

// slotReport returns this node's requests at servers.
func (d *Dispatcher) slotReport(env Env, servers []identifier.VMID) messenger.SlotReport {
	// Times make reports of this start of the node later than those of earlier starts.
	d.slots.sequence = max(d.slots.sequence+1, uint64(env.Now))
	report := messenger.SlotReport{
		From:     d.config.Self,
		Sequence: d.slots.sequence,
	}
	for _, server := range servers {
		report.Uses = append(report.Uses, messenger.SlotUse{
			Server:   server,
			Running:  d.ownRunning(server),
			Received: d.slots.received[server],
			Rejected: d.slots.rejected[server],
		})
		delete(d.slots.ended, server)
		delete(d.slots.rejected, server)
	}
	return report
}

func (d *Dispatcher) ownRunning(server identifier.VMID) int {
	if o := d.loads.own[server]; o != nil {
		return o.running
	}
	return 0
}

// slotCount returns the number of requests that a server runs at once, or zero if it is not
// known.
func (d *Dispatcher) slotCount(env Env, s *registrar.Server) int {
	if backend := env.Catalog.Routing.Backends[s.Service]; backend.Slots > 0 {
		return backend.Slots
	}
	return s.Slots
}

// hasSlot reports whether a server has a free slot, by what all nodes have reported to this one.
func (d *Dispatcher) hasSlot(env Env, s *registrar.Server) bool {
	return env.Brittle.HasRoom(env.Now, s.Server, d.slotCount(env, s), d.usedSlots(env, s.Server))
}

// usedSlots returns the number of slots of a server in use. Nodes that have requested none are
// known by their load only, which is older.
func (d *Dispatcher) usedSlots(env Env, server identifier.VMID) int {
	known, _ := d.loads.serverLoad(env.Now, server)
	return max(known, d.ownRunning(server)+env.Slots.InUse(env.Now, server))
}

// StoreSlots records a peer's report of its requests at brittle servers.
func (d *Dispatcher) StoreSlots(env Env, r messenger.SlotReport) {
	env.Slots.Report(env.Now, r)
	for _, use := range r.Uses {
		if s, known := env.Servers.Server(use.Server); known && use.Rejected {
			env.Brittle.RejectedPeer(env.Now, s.Server, d.usedSlots(env, s.Server))
		}
	}
}

// GrantSlot answers a peer's request for a slot at one of some servers.
func (d *Dispatcher) GrantSlot(env Env, r messenger.SlotReport) messenger.SlotAnswered {
	d.StoreSlots(env, r)
	for _, use := range r.Uses {
		s, known := env.Servers.Server(use.Server)
		if !known || env.Catalog == nil || env.Catalog.Routing == nil {
			continue
		}
		if env.SlotAllocator(slotGroup(env, s)) != nil {
			return messenger.SlotAnswered{NotAllocating: true}
		}
		if s.State == messenger.ServerReady && d.hasSlot(env, s) {
			env.Slots.Grant(env.Now, use.Server, r.From)
			return messenger.SlotAnswered{Server: use.Server}
		}
	}
	return messenger.SlotAnswered{}
}

// SlotAnswered continues an exchange when the node that allocates slots has answered.
func (d *Dispatcher) SlotAnswered(env Env, e messenger.SlotAnswered) messenger.Effect {
	if e.Server != "" {
		d.slots.received[e.Server]++
		d.slots.ended[e.Server] = true
	}
	x, ok := d.exchanges[e.Exchange]
	if !ok || len(x.slotRequest.servers) == 0 {
		return messenger.EndExchange{
			Exchange: e.Exchange,
			Reason:   messenger.ReasonCancelled,
		}
	}
	servers := x.slotRequest.servers
	x.slotRequest.servers = nil
	env = env.forExchange(x)
	if x.deadline.Sub(env.Now) < minAttemptTime {
		return d.abandonUnplaced(env, x, messenger.ReasonDeadlineExpired)
	}
	if !d.mayPlace(env, x) {
		return keepWaiting(x)
	}
	if slices.Contains(servers, e.Server) {
		if c, found := d.chooseServer(env, x, x.slotRequest.eligible, e.Server); found && mayReplace(env, x, c) {
			delete(d.slots.ended, e.Server)
			return d.send(env, x, c)
		}
	}
	if e.Unknown || e.NotAllocating {
		d.allocatorUnreachable(env, servers[0])
	} else {
		x.slotRequest.full = append(x.slotRequest.full, servers...)
	}
	if x.slotRequest.count < maxSlotRequests {
		if effect, placed := d.place(env, x); placed {
			return effect
		}
	}
	return d.abandonUnplaced(env, x, messenger.ReasonNoRoom)
}

// allocatorUnreachable records that the node that allocates the slots of a server did not.
func (d *Dispatcher) allocatorUnreachable(env Env, server identifier.VMID) {
	s, known := env.Servers.Server(server)
	if !known {
		return
	}
	if allocator := env.SlotAllocator(slotGroup(env, s)); allocator != nil {
		d.slots.unreachableUntil[allocator.Node] = env.Now.Add(unreachablePause)
	}
}

// ReportUnslotted has this node's requests at the servers of a service that has become brittle
// reported. They were sent without a slot.
func (d *Dispatcher) ReportUnslotted(env Env, service identifier.ServiceName) {
	for server := range d.loads.own {
		if s, known := env.Servers.Server(server); known && s.Service == service {
			d.slots.ended[server] = true
		}
	}
}

// HasSlotReports reports whether requests have ended at brittle servers.
func (d *Dispatcher) HasSlotReports() bool { return len(d.slots.ended) > 0 }

// SlotReports returns the reports of requests that have ended at brittle servers.
func (d *Dispatcher) SlotReports(env Env) []messenger.Effect {
	byAllocator := map[Allocator][]identifier.VMID{}
	for server := range d.slots.ended {
		s, known := env.Servers.Server(server)
		if !known || !env.Brittle.Service(s.Service) {
			continue
		}
		if allocator := env.SlotAllocator(slotGroup(env, s)); allocator != nil {
			byAllocator[*allocator] = append(byAllocator[*allocator], server)
		}
	}
	clear(d.slots.ended)
	var out []messenger.Effect
	for allocator, servers := range byAllocator {
		slices.Sort(servers)
		out = append(out, messenger.ReportSlots{
			Address: allocator.Address,
			Report:  d.slotReport(env, servers),
		})
	}
	slices.SortFunc(out, func(a, b messenger.Effect) int {
		return cmp.Compare(a.(messenger.ReportSlots).Address, b.(messenger.ReportSlots).Address)
	})
	return out
}
