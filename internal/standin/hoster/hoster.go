// Package hoster runs many engine and plain server stand-ins in one process, each
// on its own port, as VMs of the platform stand-in. It registers them there,
// starts VMs that are bought and ends VMs that are reclaimed or released. When a
// VM ends, its port is closed and its connections are aborted.
//
//	GET  /admin/vms       the running VMs and their addresses
//	POST /admin/reclaim   forwards a platform.ReclaimRequest to the platform
//	POST /admin/kill      ends a VM, or a zone's VMs, without notice
package hoster

import (
	"context"
	"fmt"
	"iter"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/engine"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/platform"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/responder"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config lists the VMs to run and where they listen.
type Config struct {
	// PlatformAddress is the host:port of the platform stand-in.
	PlatformAddress string
	Zones           []identifier.Zone
	Groups          []Group
	// Host is the IP address to listen on. FirstPort is the port of the first
	// VM, and later VMs use the following ports; 0 selects free ports.
	Host      string
	FirstPort int
	// BootTime is the time from a purchase until the VM listens.
	BootTime timekeeper.Duration
}

// Hoster runs VMs. It is safe for concurrent use.
type Hoster struct {
	config   Config
	platform standin.Control

	mu       sync.Mutex
	hosted   map[identifier.VMID]hosted
	ended    map[identifier.VMID]bool
	nextPort int
}

// hosted is a running VM.
type hosted struct {
	vm     encoder.VM
	server *standin.Server
}

var _ standin.Service = (*Hoster)(nil)

// New returns a hoster without VMs; Start adds the initial ones.
func New(c Config) *Hoster {
	if c.Host == "" {
		c.Host = "127.0.0.1"
	}
	return &Hoster{
		config:   c,
		platform: standin.Control{Address: c.PlatformAddress},
		hosted:   make(map[identifier.VMID]hosted),
		ended:    make(map[identifier.VMID]bool),
		nextPort: c.FirstPort,
	}
}

// Start starts the initial VMs. They end when ctx ends.
func (h *Hoster) Start(ctx context.Context) error {
	for _, g := range h.config.Groups {
		for i := range g.Count {
			if err := h.startVM(ctx, g, h.initialVM(g, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// initialVM returns initial VM i of a group, with its name, zone and market.
func (h *Hoster) initialVM(g Group, i int) encoder.VM {
	zone := h.config.Zones[i%len(h.config.Zones)]
	market := catalog.Reclaimable
	if i >= g.Count-g.OnDemand {
		market = catalog.OnDemand
	}
	return encoder.VM{
		VM:     identifier.VMID(fmt.Sprintf("%s-%s-%d", g.Engine.Pool, zone, i/len(h.config.Zones)+1)),
		Zone:   zone,
		Class:  g.Class,
		Market: market,
		Pool:   g.Engine.Pool,
	}
}

// startVM opens the VM's port and registers it with the platform.
func (h *Hoster) startVM(ctx context.Context, g Group, vm encoder.VM) error {
	service, gate := h.newService(g, vm)
	server, err := standin.Listen(ctx, h.nextAddress(), service, gate)
	if err != nil {
		return err
	}
	vm.Address = server.Address()
	h.mu.Lock()
	h.hosted[vm.VM] = hosted{
		vm:     vm,
		server: server,
	}
	h.mu.Unlock()
	return h.platform.Post(ctx, "/admin/vms", vm, nil)
}

// nextAddress returns the listen address for a new VM.
func (h *Hoster) nextAddress() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	port := h.nextPort
	if port > 0 {
		h.nextPort++
	}
	return net.JoinHostPort(h.config.Host, strconv.Itoa(port))
}

func (h *Hoster) newService(g Group, vm encoder.VM) (standin.Service, *standin.Gate) {
	if g.Kind == catalog.PlainService {
		plain := responder.New(responder.Config{
			VM:    vm.VM,
			Pool:  vm.Pool,
			Slots: g.Engine.Slots,
		})
		return plain, plain.Gate
	}
	config := g.Engine
	config.VM = vm.VM
	config.Zone = vm.Zone
	config.WeightAddress = h.config.PlatformAddress
	model := engine.New(config)
	return model, model.Gate
}

// endVM closes a VM's port and aborts its connections.
func (h *Hoster) endVM(id identifier.VMID) {
	h.mu.Lock()
	vm, ok := h.hosted[id]
	delete(h.hosted, id)
	h.ended[id] = true
	h.mu.Unlock()
	if ok {
		vm.server.Close()
	}
}

func (h *Hoster) hasEnded(id identifier.VMID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended[id]
}

func (h *Hoster) endAllVMs() {
	for _, vm := range h.VMs() {
		h.endVM(vm.VM)
	}
}

// VMs returns the running VMs in the order of their names.
func (h *Hoster) VMs() []encoder.VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	vms := make([]encoder.VM, 0, len(h.hosted))
	for _, vm := range h.hosted {
		vms = append(vms, vm.vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].VM < vms[j].VM })
	return vms
}

// Handler serves the hoster's protocol.
func (h *Hoster) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/vms", func(w http.ResponseWriter, _ *http.Request) {
		encoder.WriteJSON(w, http.StatusOK, h.VMs())
	})
	mux.HandleFunc("POST /admin/reclaim", h.reclaim)
	mux.HandleFunc("POST /admin/kill", h.kill)
	return mux
}

func (h *Hoster) reclaim(w http.ResponseWriter, r *http.Request) {
	var request platform.ReclaimRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	var response platform.ReclaimResponse
	if err := h.platform.Post(r.Context(), "/admin/reclaim", request, &response); err != nil {
		encoder.WriteProblem(w, http.StatusBadGateway, encoder.Problem{Error: err.Error()})
		return
	}
	encoder.WriteJSON(w, http.StatusOK, response)
}

// KillRequest is the body of POST /admin/kill. It names one VM or a zone.
type KillRequest struct {
	VM   identifier.VMID `json:"vm,omitempty"`
	Zone identifier.Zone `json:"zone,omitempty"`
}

// kill simulates crashes: it ends VMs and deregisters them at the platform without
// a reclaim notice.
func (h *Hoster) kill(w http.ResponseWriter, r *http.Request) {
	var request KillRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	killed := []identifier.VMID{}
	for _, vm := range h.VMs() {
		if vm.VM != request.VM && vm.Zone != request.Zone {
			continue
		}
		h.endVM(vm.VM)
		killed = append(killed, vm.VM)
		if err := h.platform.Delete(r.Context(), "/admin/vms/"+url.PathEscape(string(vm.VM))); err != nil {
			encoder.WriteProblem(w, http.StatusBadGateway, encoder.Problem{Error: err.Error()})
			return
		}
	}
	encoder.WriteJSON(w, http.StatusOK, platform.ReclaimResponse{VMs: killed})
}

// retryInterval is the delay after a failed request to the platform.
const retryInterval = 200 * time.Millisecond

// feedPollTime is the duration of one long poll of the feed.
const feedPollTime = 10 * timekeeper.Second

// Run executes the entries of the platform's feed until ctx ends, then ends all
// VMs.
func (h *Hoster) Run(ctx context.Context) {
	defer h.endAllVMs()
	running := 0
	ended := make(chan struct{})
	defer func() {
		for range running {
			<-ended
		}
	}()
	for entry := range h.feedEntries(ctx) {
		running += 1 - countEnded(ended)
		go func() {
			h.execute(ctx, entry)
			ended <- struct{}{}
		}()
	}
}

// countEnded receives the values available on ended and returns their number.
func countEnded(ended <-chan struct{}) int {
	for n := 0; ; n++ {
		select {
		case <-ended:
		default:
			return n
		}
	}
}

// feedEntries yields the entries of the platform's feed as they arrive, until ctx
// ends.
func (h *Hoster) feedEntries(ctx context.Context) iter.Seq[platform.FeedEntry] {
	return func(yield func(platform.FeedEntry) bool) {
		var after uint64
		for ctx.Err() == nil {
			for _, entry := range h.readFeed(ctx, after) {
				after = entry.Seq
				if !yield(entry) {
					return
				}
			}
		}
	}
}

// readFeed polls the feed once. After a failure it waits for retryInterval and
// returns no entries.
func (h *Hoster) readFeed(ctx context.Context, after uint64) []platform.FeedEntry {
	var feed platform.FeedResponse
	path := fmt.Sprintf("/admin/feed?after=%d&wait_ms=%d", after, feedPollTime)
	if err := h.platform.Get(ctx, path, &feed); err != nil {
		standin.Pause(ctx, retryInterval)
	}
	return feed.Entries
}

// execute starts or ends the VM of a feed entry after its boot time or at its
// deadline.
func (h *Hoster) execute(ctx context.Context, entry platform.FeedEntry) {
	switch entry.Kind {
	case platform.FeedBought:
		h.bootVM(ctx, entry.VM)
	case platform.FeedReclaimed, platform.FeedReleased:
		if standin.Pause(ctx, timekeeper.Duration(entry.DeadlineMSLeft).Std()) {
			h.endVM(entry.VM.VM)
		}
	}
}

// bootVM starts a bought VM after its boot time. It ignores VMs of pools that
// this hoster does not run and VMs that were removed while they booted.
func (h *Hoster) bootVM(ctx context.Context, vm encoder.VM) {
	for _, g := range h.config.Groups {
		if g.Engine.Pool != vm.Pool || !standin.Pause(ctx, h.config.BootTime.Std()) || h.hasEnded(vm.VM) {
			continue
		}
		if err := h.startVM(ctx, g, vm); err != nil {
			h.endVM(vm.VM)
		}
	}
}
