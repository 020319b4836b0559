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

// cloud stores all VMs with the times of their changes, from which list returns a
// past state.
type cloud struct {
	clock   timekeeper.Clock
	listLag timekeeper.Duration

	mu          sync.Mutex
	vms         map[identifier.VMID]*vm
	tokens      map[string]identifier.VMID
	purchases   int
	feed        []feedEntry
	feedChanged broadcast
}

// vm is a VM with the times of its changes, which are Never until they occur.
type vm struct {
	encoder.VM
	listedAt  timekeeper.Time
	leavingAt timekeeper.Time
	removedAt timekeeper.Time
}

// FeedKind is a kind of entry of /admin/feed.
type FeedKind string

// The kinds of entries of the feed.
const (
	FeedBought    FeedKind = "bought"
	FeedReclaimed FeedKind = "reclaimed"
	FeedReleased  FeedKind = "released"
)

// FeedEntry is one entry of /admin/feed. It instructs a hoster to start or end a
// VM.
type FeedEntry struct {
	Seq            uint64     `json:"seq"`
	Kind           FeedKind   `json:"kind"`
	VM             encoder.VM `json:"vm"`
	DeadlineMSLeft int64      `json:"deadline_ms_left"`
}

// FeedResponse is the response to GET /admin/feed.
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
		clock:       c.Clock,
		listLag:     c.ListLag,
		vms:         make(map[identifier.VMID]*vm),
		tokens:      make(map[string]identifier.VMID),
		feedChanged: newBroadcast(),
	}
}

// register lists a VM, including one that was bought before. If the VM is already
// leaving or was released, it sets only the address.
func (c *cloud) register(v encoder.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.vms[v.VM]
	if ok && (known.leavingAt != timekeeper.Never || known.removedAt != timekeeper.Never) {
		known.Address = v.Address
		return
	}
	c.vms[v.VM] = &vm{
		VM:        v,
		listedAt:  c.clock.Now(),
		leavingAt: timekeeper.Never,
		removedAt: timekeeper.Never,
	}
}

// buy returns the VM bought with the client token, or a new one if the token is
// unknown or ignored.
func (c *cloud) buy(r encoder.BuyRequest, ignoreToken bool) encoder.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := c.tokens[r.ClientToken]; ok && !ignoreToken {
		return c.vms[id].VM
	}
	c.purchases++
	v := encoder.VM{
		VM:     identifier.VMID(fmt.Sprintf("vm-%d", c.purchases)),
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
		removedAt: timekeeper.Never,
	}
	c.appendFeed(feedEntry{
		kind: FeedBought,
		vm:   v,
	})
	return v
}

// release removes a VM immediately. It reports whether the VM is known.
func (c *cloud) release(id identifier.VMID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := c.vms[id]
	if !ok {
		return false
	}
	now := c.clock.Now()
	if v.removedAt.After(now) {
		v.removedAt = now
		c.appendFeed(feedEntry{
			kind:     FeedReleased,
			vm:       v.VM,
			deadline: now,
		})
	}
	return true
}

// ReclaimRequest is the body of POST /admin/reclaim. It names one VM, or a zone
// whose reclaimable VMs are meant; OnDemand includes its on-demand VMs.
type ReclaimRequest struct {
	VM       identifier.VMID `json:"vm,omitempty"`
	Zone     identifier.Zone `json:"zone,omitempty"`
	OnDemand bool            `json:"on_demand,omitempty"`
	NoticeMS int64           `json:"notice_ms"`
}

func (r ReclaimRequest) matches(v encoder.VM) bool {
	if r.VM != "" {
		return v.VM == r.VM
	}
	return v.Zone == r.Zone && (r.OnDemand || v.Market != catalog.OnDemand)
}

// ReclaimResponse lists the VMs that received a notice.
type ReclaimResponse struct {
	VMs []identifier.VMID `json:"vms"`
}

// reclaim gives notice to the VMs that match the request. For a VM that already
// has a notice, the earlier deadline applies.
func (c *cloud) reclaim(r ReclaimRequest) []identifier.VMID {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	deadline := now.Add(timekeeper.Duration(r.NoticeMS))
	noticed := []identifier.VMID{}
	for _, id := range c.sortedIDs() {
		v := c.vms[id]
		if !r.matches(v.VM) || !v.removedAt.After(now) {
			continue
		}
		v.leavingAt = min(v.leavingAt, now)
		v.removedAt = min(v.removedAt, deadline)
		c.appendFeed(feedEntry{
			kind:     FeedReclaimed,
			vm:       v.VM,
			deadline: deadline,
		})
		noticed = append(noticed, id)
	}
	return noticed
}

// list returns the VMs as of listLag ago, modified by the list's faults.
func (c *cloud) list(f Faults) encoder.ListResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	asOf := c.clock.Now().Add(-c.listLag)
	response := encoder.ListResponse{
		AsOfMS: int64(asOf),
		AgeMS:  int64(c.listLag),
		VMs:    []encoder.VM{},
	}
	showLive := toSet(f.ShowAsLive)
	hide := toSet(f.HideLive)
	for _, id := range c.sortedIDs() {
		v := c.vms[id]
		shownAsLive := showLive[string(id)]
		if v.listedAt.After(asOf) || hide[string(id)] || !v.removedAt.After(asOf) && !shownAsLive {
			continue
		}
		shown := v.VM
		shown.Leaving = !v.leavingAt.After(asOf) && !shownAsLive
		response.VMs = append(response.VMs, shown)
	}
	return response
}

func (c *cloud) sortedIDs() []identifier.VMID {
	ids := make([]identifier.VMID, 0, len(c.vms))
	for id := range c.vms {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (c *cloud) appendFeed(e feedEntry) {
	c.feed = append(c.feed, e)
	c.feedChanged.notify()
}

// entriesAfter returns the feed's entries with a sequence number above after. The
// first entry has number 1.
func (c *cloud) entriesAfter(after uint64) []FeedEntry {
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
	return c.feedChanged.changed
}

func toSet(names []string) map[string]bool {
	members := make(map[string]bool, len(names))
	for _, n := range names {
		members[n] = true
	}
	return members
}
