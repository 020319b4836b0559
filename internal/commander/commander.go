// Package commander decides which orders the holder of a pool's lease gives to
// the pool's engines now, so that each comes to run the model wanted of it.
//
// Orders are absolute, so that repeating one does no harm. They are repeated,
// more and more slowly, until a load report that was made after the order
// shows the wanted state, and again if a later report shows another: an order
// of an earlier holder may have landed late.
//
// Engines that check fencing numbers are ordered also where the model is
// right and the fence is old: from then on they refuse an earlier holder's
// late order. Engines that ignore them get no order until the earlier
// holder's term and the longest time of an order are over; after that nothing
// can land behind the orders of this holder.
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

// Config sets up a Commander.
type Config struct {
	// InitialBackoff is the wait after the first order to a server; each further
	// one doubles, up to MaxBackoff, until it reports the wanted state.
	InitialBackoff timekeeper.Duration
	MaxBackoff     timekeeper.Duration
	// MaxInFlight bounds the orders under way in the pool: loads share the
	// weight store's rate.
	MaxInFlight int
}

// Default times and sizes.
const (
	DefaultInitialBackoff = timekeeper.Second
	DefaultMaxBackoff     = timekeeper.Minute
	DefaultMaxInFlight    = 4
)

// Lease is the pool's lease as this process holds it.
type Lease struct {
	Held     bool
	Fence    identifier.Fence
	NotAfter timekeeper.Time
	// SafeAfter is the end of all earlier holders' terms.
	SafeAfter timekeeper.Time
}

// Server is one engine of the pool: what is wanted of it, what it reports.
type Server struct {
	VM      identifier.VMID
	Address string
	Leaving bool
	Wanted  identifier.ModelName
	// Load is the last report; HasLoad is false before the first.
	Load    messenger.ServerLoad
	HasLoad bool
}

// Input is the state that Plan decides on.
type Input struct {
	Pool    catalog.Pool
	Lease   Lease
	Servers []Server
}

// safeguards are switched off one by one by negative controls.
type safeguards struct {
	noWaitOut bool
	noRepeat  bool
}

// Commander remembers the orders given under the present lease.
type Commander struct {
	config  Config
	fence   identifier.Fence
	deposed bool
	servers map[identifier.VMID]*progress
	off     safeguards
}

// progress is the last order to one server.
type progress struct {
	model    identifier.ModelName
	sent     timekeeper.Time
	inFlight bool
	failures int
	next     timekeeper.Time
}

// New returns a Commander that has given no order.
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
		servers: make(map[identifier.VMID]*progress),
	}
}

// Plan returns the orders to give now, in the order of the servers' ids, and
// takes them for given. The caller fills in the tickets and reports each end
// with OrderEnded; NotAfter is checked again right before an order leaves.
func (c *Commander) Plan(now timekeeper.Time, in Input) []messenger.GiveOrder {
	c.keep(in.Servers)
	if !in.Lease.Held || !now.Before(in.Lease.NotAfter) {
		return nil
	}
	c.tenure(in.Lease.Fence)
	if c.deposed || c.waitsOut(now, in) {
		return nil
	}
	servers := slices.Clone(in.Servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.VM, b.VM) })
	var out []messenger.GiveOrder
	room := c.config.MaxInFlight - c.inFlight(now, in.Pool)
	for _, s := range servers {
		p := c.progress(s.VM)
		c.observe(now, in, s, p)
		if room <= 0 || !c.due(now, in, s, p) {
			continue
		}
		room--
		out = append(out, c.order(now, in, s, p))
	}
	return out
}

// OrderEnded reports the end of an order. A stale fence means that another holder
// has given orders since: this one gives none until it gets a new fence.
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

// keep forgets the servers that are no longer in the pool.
func (c *Commander) keep(servers []Server) {
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

// tenure starts anew under a new fence.
func (c *Commander) tenure(f identifier.Fence) {
	if f == c.fence {
		return
	}
	c.fence = f
	c.deposed = false
	clear(c.servers)
}

// waitsOut reports whether an earlier holder's order may still land on
// servers that do not check who gives it. Whatever they were told before that
// could be undone by it after they had reported the wanted state.
func (c *Commander) waitsOut(now timekeeper.Time, in Input) bool {
	if in.Pool.ChecksFence || c.off.noWaitOut {
		return false
	}
	return in.Lease.SafeAfter != 0 && now.Before(in.Lease.SafeAfter.Add(in.Pool.OrderTime))
}

func (c *Commander) progress(vm identifier.VMID) *progress {
	p, ok := c.servers[vm]
	if !ok {
		p = &progress{}
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

// observe clears the failures of a server that reports the wanted state.
func (c *Commander) observe(now timekeeper.Time, in Input, s Server, p *progress) {
	if s.HasLoad && s.Load.AsOf.After(p.sent) && settled(in, s) {
		p.inFlight = false
		p.failures = 0
		p.next = now
	}
}

// due reports whether a server needs an order now.
func (c *Commander) due(now timekeeper.Time, in Input, s Server, p *progress) bool {
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

func (c *Commander) order(now timekeeper.Time, in Input, s Server, p *progress) messenger.GiveOrder {
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
