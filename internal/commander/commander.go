// Package commander decides which orders the holder of a pool's lease sends to the
// pool's engines, so that each loads the model assigned to it.
//
// Orders are idempotent. They are repeated with backoff until a load report made after
// the order shows the wanted state, and again if a later report shows another, because
// a late order of an earlier holder may have taken effect.
//
// Engines that check fencing numbers also receive an order if the model is right but
// the fence is old: from then on they reject late orders of earlier holders. Engines
// that ignore fences receive no order until the earlier holder's term and the maximum
// duration of an order are over; after that, no earlier order can take effect.
//
// A Commander serves one pool and is not safe for concurrent use.
package commander

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config configures a Commander.
type Config struct {
	// InitialBackoff is the time between the first order to a server and the second. It
	// doubles with each further order, up to MaxBackoff, until the server reports the
	// wanted state.
	InitialBackoff timekeeper.Duration
	MaxBackoff     timekeeper.Duration
	// MaxInFlight limits the orders in flight in the pool, because model loads share
	// the bandwidth of the weight store.
	MaxInFlight int
}

// Defaults of Config.
const (
	DefaultInitialBackoff = timekeeper.Second
	DefaultMaxBackoff     = timekeeper.Minute
	DefaultMaxInFlight    = 4
)

// Lease is the pool's lease, as this process holds it.
type Lease struct {
	Held     bool
	Fence    identifier.Fence
	NotAfter timekeeper.Time
	// SafeAfter is the end of all earlier holders' terms.
	SafeAfter timekeeper.Time
}

// Server is one engine of the pool, with the model wanted of it and its last report.
type Server struct {
	VM      identifier.VMID
	Address string
	Leaving bool
	Wanted  identifier.ModelName
	// Load is the last report, valid if HasLoad is set.
	Load    messenger.ServerLoad
	HasLoad bool
}

// Input is the state that Plan decides on.
type Input struct {
	Pool    catalog.Pool
	Lease   Lease
	Servers []Server
}

// safeguards disables single safeguards, for tests that verify the checks.
type safeguards struct {
	noWait   bool
	noRepeat bool
}

// Commander holds the state of the orders sent under the current lease.
type Commander struct {
	config  Config
	fence   identifier.Fence
	deposed bool
	servers map[identifier.VMID]*orderProgress
	off     safeguards
}

// orderProgress is the state of the last order to a server.
type orderProgress struct {
	model    identifier.ModelName
	sent     timekeeper.Time
	inFlight bool
	failures int
	next     timekeeper.Time
}

// New returns a Commander without orders.
func New(c Config) *Commander {
	if c.InitialBackoff == 0 {
		c.InitialBackoff = DefaultInitialBackoff
	}
	if c.MaxBackoff == 0 {
		c.MaxBackoff = DefaultMaxBackoff
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	return &Commander{
		config:  c,
		servers: make(map[identifier.VMID]*orderProgress),
	}
}

// Plan returns the orders to send now, sorted by the servers' ids, and records them as
// sent. The caller fills in the tickets, reports the end of each order with OrderEnded,
// and checks NotAfter again right before it sends an order.
func (c *Commander) Plan(now timekeeper.Time, in Input) []messenger.GiveOrder {
	c.removeAbsent(in.Servers)
	if !in.Lease.Held || !now.Before(in.Lease.NotAfter) {
		return nil
	}
	c.startTenure(in.Lease.Fence)
	if c.deposed || c.mustWait(now, in) {
		return nil
	}
	servers := slices.Clone(in.Servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.VM, b.VM) })
	var out []messenger.GiveOrder
	headroom := c.config.MaxInFlight - c.inFlight(now, in.Pool)
	for _, s := range servers {
		p := c.progressOf(s.VM)
		c.observe(now, in, s, p)
		if headroom <= 0 || !c.due(now, in, s, p) {
			continue
		}
		headroom--
		out = append(out, c.order(now, in, s, p))
	}
	return out
}

// OrderEnded processes the end of an order. A stale fence means that another holder has
// sent orders since, so this one sends none until it has a new fence.
func (c *Commander) OrderEnded(now timekeeper.Time, server identifier.VMID, fence identifier.Fence, ok, stale bool) {
	p, known := c.servers[server]
	if !known || fence != c.fence {
		return
	}
	c.deposed = c.deposed || stale
	p.inFlight = false
	if !ok {
		p.next = now.Add(c.backoff(p.failures - 1))
	}
}

// removeAbsent drops the state of servers that are no longer in the pool.
func (c *Commander) removeAbsent(servers []Server) {
	present := make(map[identifier.VMID]bool, len(servers))
	for _, s := range servers {
		present[s.VM] = true
	}
	for vm := range c.servers {
		if !present[vm] {
			delete(c.servers, vm)
		}
	}
}

// startTenure resets the state if the fence is new.
func (c *Commander) startTenure(f identifier.Fence) {
	if f == c.fence {
		return
	}
	c.fence = f
	c.deposed = false
	clear(c.servers)
}

// mustWait reports whether an order of an earlier holder may still take effect on
// servers that do not check fences. It could undo an order of this holder after the
// server reported the wanted state.
func (c *Commander) mustWait(now timekeeper.Time, in Input) bool {
	if in.Pool.ChecksFence || c.off.noWait {
		return false
	}
	return in.Lease.SafeAfter != 0 && now.Before(in.Lease.SafeAfter.Add(in.Pool.OrderTime))
}

func (c *Commander) progressOf(vm identifier.VMID) *orderProgress {
	p, ok := c.servers[vm]
	if !ok {
		p = &orderProgress{}
		c.servers[vm] = p
	}
	return p
}

func (c *Commander) inFlight(now timekeeper.Time, pool catalog.Pool) int {
	n := 0
	for _, p := range c.servers {
		if p.inFlight && now.Before(p.sent.Add(pool.OrderTime)) {
			n++
		}
	}
	return n
}

// observe resets the backoff of a server that reports the wanted state.
func (c *Commander) observe(now timekeeper.Time, in Input, s Server, p *orderProgress) {
	if s.HasLoad && s.Load.AsOf.After(p.sent) && settled(in, s) {
		p.inFlight = false
		p.failures = 0
		p.next = now
	}
}

// due reports whether a server needs an order now.
func (c *Commander) due(now timekeeper.Time, in Input, s Server, p *orderProgress) bool {
	if s.Leaving || s.Wanted == "" || now.Before(p.next) {
		return false
	}
	if p.sent == 0 || p.model != s.Wanted {
		return !s.HasLoad || !settled(in, s)
	}
	if c.off.noRepeat || p.inFlight && now.Before(p.sent.Add(in.Pool.OrderTime)) {
		return false
	}
	fresh := s.HasLoad && s.Load.AsOf.After(p.sent)
	return !fresh || !settled(in, s)
}

// settled reports whether the report shows the wanted state.
func settled(in Input, s Server) bool {
	if in.Pool.ChecksFence && s.Load.Fence < in.Lease.Fence {
		return false
	}
	return s.Load.Model == s.Wanted
}

func (c *Commander) order(now timekeeper.Time, in Input, s Server, p *orderProgress) messenger.GiveOrder {
	if p.model != s.Wanted {
		p.failures = 0
	}
	p.model = s.Wanted
	p.sent = now
	p.inFlight = true
	p.next = now.Add(c.backoff(p.failures))
	p.failures++
	return messenger.GiveOrder{
		Server:  s.VM,
		Address: s.Address,
		Order: messenger.Order{
			Kind:  messenger.OrderLoadModel,
			Model: s.Wanted,
			Fence: in.Lease.Fence,
		},
		NotAfter: in.Lease.NotAfter,
	}
}

func (c *Commander) backoff(failures int) timekeeper.Duration {
	d := c.config.InitialBackoff
	for range failures {
		d *= 2
		if d >= c.config.MaxBackoff {
			return c.config.MaxBackoff
		}
	}
	return d
}
