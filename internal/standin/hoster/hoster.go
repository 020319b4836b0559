// Package hoster is one process that hosts many stand-ins of engines and
// plain servers, each on a port of its own, and makes VMs of them: it
// registers them with the platform stand-in, starts the ones that are bought
// there, and ends the ones that are reclaimed or given back. A VM ends as a
// real one does: its port closes and its connections are cut.
//
//	GET  /admin/vms       the VMs that run now, with their addresses
//	POST /admin/reclaim   hands platform.ReclaimRequest on to the platform
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

// Config says what to host.
type Config struct {
	// Platform is the platform stand-in's address.
	PlatformAddress string
	Zones           []identifier.Zone
	Groups          []Group
	// Host is the IP number to listen on; FirstPort the port of the first VM,
	// the others follow. With 0 each takes a free one.
	Host      string
	FirstPort int
	// Boot is the time from a purchase until the VM listens.
	BootTime timekeeper.Duration
}

// Hoster is the process's VMs.
type Hoster struct {
	config   Config
	platform standin.Control

	mu       sync.Mutex
	hosted   map[identifier.VMID]hosted
	ended    map[identifier.VMID]bool
	nextPort int
}

// hosted is one VM that runs.
type hosted struct {
	vm     encoder.VM
	server *standin.Server
}

var _ standin.Service = (*Hoster)(nil)

// New returns a hoster that hosts nothing yet.
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

// Start hosts the VMs that there are from the start. The context ends them.
func (h *Hoster) Start(ctx context.Context) error {
	for _, g := range h.config.Groups {
		for i := range g.Count {
			if err := h.host(ctx, g, h.firstVM(g, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// firstVM names VM i of a group and puts it into a zone.
func (h *Hoster) firstVM(g Group, i int) encoder.VM {
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

// host opens the VM's port and registers it with the platform.
func (h *Hoster) host(ctx context.Context, g Group, vm encoder.VM) error {
	service, gate := h.build(g, vm)
	server, err := standin.Listen(ctx, h.address(), service, gate)
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

// address is where the next VM listens.
func (h *Hoster) address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	port := h.nextPort
	if port > 0 {
		h.nextPort++
	}
	return net.JoinHostPort(h.config.Host, strconv.Itoa(port))
}

func (h *Hoster) build(g Group, vm encoder.VM) (standin.Service, *standin.Gate) {
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

// end closes a VM's port and cuts its connections.
func (h *Hoster) end(id identifier.VMID) {
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

func (h *Hoster) endAll() {
	for _, vm := range h.VMs() {
		h.end(vm.VM)
	}
}

// VMs returns the VMs that run now, by name.
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

// KillRequest is the body of POST /admin/kill: one VM by name, or those of a
// zone.
type KillRequest struct {
	VM   identifier.VMID `json:"vm,omitempty"`
	Zone identifier.Zone `json:"zone,omitempty"`
}

// kill ends VMs as a crash does: the platform learns of it, but nobody gets a
// notice.
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
		h.end(vm.VM)
		killed = append(killed, vm.VM)
		if err := h.platform.Delete(r.Context(), "/admin/vms/"+url.PathEscape(string(vm.VM))); err != nil {
			encoder.WriteProblem(w, http.StatusBadGateway, encoder.Problem{Error: err.Error()})
			return
		}
	}
	encoder.WriteJSON(w, http.StatusOK, platform.ReclaimResponse{VMs: killed})
}

// retryEvery is how long the hoster waits for a platform that does not answer.
const retryEvery = 200 * time.Millisecond

// feedWait is the wait of one long poll of the feed.
const feedWait = 10 * timekeeper.Second

// Run follows the platform's feed until ctx ends, then ends all VMs.
func (h *Hoster) Run(ctx context.Context) {
	defer h.endAll()
	running := 0
	ended := make(chan struct{})
	defer func() {
		for range running {
			<-ended
		}
	}()
	for entry := range h.follow(ctx) {
		running += 1 - reap(ended)
		go func() {
			h.carryOut(ctx, entry)
			ended <- struct{}{}
		}()
	}
}

// reap takes the ends that have been reported so far and counts them.
func reap(ended <-chan struct{}) int {
	for n := 0; ; n++ {
		select {
		case <-ended:
		default:
			return n
		}
	}
}

// follow gives the entries of the platform's feed as they come, until ctx
// ends.
func (h *Hoster) follow(ctx context.Context) iter.Seq[platform.FeedEntry] {
	return func(yield func(platform.FeedEntry) bool) {
		var after uint64
		for ctx.Err() == nil {
			for _, entry := range h.read(ctx, after) {
				after = entry.Seq
				if !yield(entry) {
					return
				}
			}
		}
	}
}

// read polls the feed once.
func (h *Hoster) read(ctx context.Context, after uint64) []platform.FeedEntry {
	var feed platform.FeedResponse
	path := fmt.Sprintf("/admin/feed?after=%d&wait_ms=%d", after, feedWait)
	if err := h.platform.Get(ctx, path, &feed); err != nil {
		standin.Pause(ctx, retryEvery)
	}
	return feed.Entries
}

// carryOut does what one entry of the feed asks for, when its time has come.
func (h *Hoster) carryOut(ctx context.Context, entry platform.FeedEntry) {
	switch entry.Kind {
	case platform.FeedBought:
		h.boot(ctx, entry.VM)
	case platform.FeedReclaimed, platform.FeedReleased:
		if standin.Pause(ctx, timekeeper.Duration(entry.DeadlineMSLeft).Std()) {
			h.end(entry.VM.VM)
		}
	}
}

// boot starts a bought VM. A VM of a pool that is not hosted here is another
// hoster's, and one that was taken away while it booted never starts.
func (h *Hoster) boot(ctx context.Context, vm encoder.VM) {
	for _, g := range h.config.Groups {
		if g.Engine.Pool != vm.Pool || !standin.Pause(ctx, h.config.BootTime.Std()) || h.hasEnded(vm.VM) {
			continue
		}
		if err := h.host(ctx, g, vm); err != nil {
			h.end(vm.VM)
		}
	}
}
