package platform

import (
	"fmt"
	"sort"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// cloud knows all VMs, and when each changed, so that the list can show them
// as they were a while ago.
type cloud struct {
	clock timekeeper.Clock
	lag   timekeeper.Duration

	mu      sync.Mutex
	vms     map[identifier.VMID]*vm
	tokens  map[string]identifier.VMID
	bought  int
	feed    []feedEntry
	changed signal
}

// vm is a VM with the instants of its changes; Never where they have not come.
type vm struct {
	encoder.VM
	listedAt  timekeeper.Time
	leavingAt timekeeper.Time
	goneAt    timekeeper.Time
}

// FeedKind is a kind of entry of /admin/feed.
type FeedKind string

// The kinds of entries of the feed.
const (
	FeedBought    FeedKind = "bought"
	FeedReclaimed FeedKind = "reclaimed"
	FeedReleased  FeedKind = "released"
)

// FeedEntry is one entry of /admin/feed, by which a hoster learns which VMs
// to start and to end.
type FeedEntry struct {
	Seq            uint64     `json:"seq"`
	Kind           FeedKind   `json:"kind"`
	VM             encoder.VM `json:"vm"`
	DeadlineMSLeft int64      `json:"deadline_ms_left"`
}

// FeedResponse answers GET /admin/feed.
type FeedResponse struct {
	Entries []FeedEntry `json:"entries"`
}

type feedEntry struct {
	kind     FeedKind
	vm       encoder.VM
	deadline timekeeper.Time
}

func newCloud(c Config) *cloud {
	return &cloud{
		clock:   c.Clock,
		lag:     c.ListLag,
		vms:     make(map[identifier.VMID]*vm),
		tokens:  make(map[string]identifier.VMID),
		changed: newSignal(),
	}
}

// register adds a VM, or gives a bought one its address.
func (c *cloud) register(v encoder.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.vms[v.VM]
	if ok && known.leavingAt != timekeeper.Never {
		known.Address = v.Address
		return
	}
	c.vms[v.VM] = &vm{
		VM:        v,
		listedAt:  c.clock.Now(),
		leavingAt: timekeeper.Never,
		goneAt:    timekeeper.Never,
	}
}

// buy returns the VM of the client token, a new one where there is none yet.
func (c *cloud) buy(r encoder.BuyRequest, ignoreToken bool) encoder.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := c.tokens[r.ClientToken]; ok && !ignoreToken {
		return c.vms[id].VM
	}
	c.bought++
	v := encoder.VM{
		VM:     identifier.VMID(fmt.Sprintf("vm-%d", c.bought)),
		Zone:   r.Zone,
		Class:  r.Class,
		Market: r.Market,
		Pool:   r.Pool,
	}
	c.tokens[r.ClientToken] = v.VM
	c.vms[v.VM] = &vm{
		VM:        v,
		listedAt:  timekeeper.Never,
		leavingAt: timekeeper.Never,
		goneAt:    timekeeper.Never,
	}
	c.publish(feedEntry{
		kind: FeedBought,
		vm:   v,
	})
	return v
}

// release gives a VM back at once; it tells whether the VM was known.
func (c *cloud) release(id identifier.VMID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := c.vms[id]
	if !ok {
		return false
	}
	now := c.clock.Now()
	if v.goneAt.After(now) {
		v.goneAt = now
		c.publish(feedEntry{
			kind:     FeedReleased,
			vm:       v.VM,
			deadline: now,
		})
	}
	return true
}

// ReclaimRequest is the body of POST /admin/reclaim: one VM by name, or the
// VMs of a zone, reclaimable ones only unless OnDemand is set.
type ReclaimRequest struct {
	VM       identifier.VMID `json:"vm,omitempty"`
	Zone     identifier.Zone `json:"zone,omitempty"`
	OnDemand bool            `json:"on_demand,omitempty"`
	NoticeMS int64           `json:"notice_ms"`
}

func (r ReclaimRequest) meets(v encoder.VM) bool {
	if r.VM != "" {
		return v.VM == r.VM
	}
	return v.Zone == r.Zone && (r.OnDemand || v.Market != catalog.OnDemand)
}

// ReclaimResponse tells which VMs got a notice.
type ReclaimResponse struct {
	VMs []identifier.VMID `json:"vms"`
}

// reclaim gives notice to the VMs that the request meets, also to those that
// have one already; of two deadlines the earlier holds.
func (c *cloud) reclaim(r ReclaimRequest) []identifier.VMID {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	deadline := now.Add(timekeeper.Duration(r.NoticeMS))
	noticed := []identifier.VMID{}
	for _, id := range c.ids() {
		v := c.vms[id]
		if !r.meets(v.VM) || !v.goneAt.After(now) {
			continue
		}
		v.leavingAt = min(v.leavingAt, now)
		v.goneAt = min(v.goneAt, deadline)
		c.publish(feedEntry{
			kind:     FeedReclaimed,
			vm:       v.VM,
			deadline: deadline,
		})
		noticed = append(noticed, id)
	}
	return noticed
}

// list returns the VMs as they were the lag ago, with the list's faults.
func (c *cloud) list(f Faults) encoder.ListResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	asOf := c.clock.Now().Add(-c.lag)
	response := encoder.ListResponse{
		AsOfMS: int64(asOf),
		AgeMS:  int64(c.lag),
		VMs:    []encoder.VM{},
	}
	showLive := set(f.ShowAsLive)
	hide := set(f.HideLive)
	for _, id := range c.ids() {
		v := c.vms[id]
		pinned := showLive[string(id)]
		if v.listedAt.After(asOf) || hide[string(id)] || !v.goneAt.After(asOf) && !pinned {
			continue
		}
		shown := v.VM
		shown.Leaving = !v.leavingAt.After(asOf) && !pinned
		response.VMs = append(response.VMs, shown)
	}
	return response
}

func (c *cloud) ids() []identifier.VMID {
	ids := make([]identifier.VMID, 0, len(c.vms))
	for id := range c.vms {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (c *cloud) publish(e feedEntry) {
	c.feed = append(c.feed, e)
	c.changed.fire()
}

// entries returns the feed's entries after seq, which counts from 1.
func (c *cloud) entries(after uint64) []FeedEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	entries := []FeedEntry{}
	for i := after; i < uint64(len(c.feed)); i++ {
		e := c.feed[i]
		entries = append(entries, FeedEntry{
			Seq:            i + 1,
			Kind:           e.kind,
			VM:             e.vm,
			DeadlineMSLeft: int64(e.deadline.Sub(now)),
		})
	}
	return entries
}

func (c *cloud) change() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed.next
}

func set(names []string) map[string]bool {
	members := make(map[string]bool, len(names))
	for _, n := range names {
		members[n] = true
	}
	return members
}
