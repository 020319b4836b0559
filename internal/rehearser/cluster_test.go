package rehearser

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/platform"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	operatorKey     = "demo-operator"
	operatorKeyHash = "9437e87fae95c03d3778f2575bb18ce30e647e51d86a8c37963364e1fc4f374e"
	quillmark       = "../../examples/quillmark"

	// settleTime bounds the wait for what takes seconds at most, tick is the
	// spacing of looks.
	settleTime = 20 * time.Second
	tick       = 50 * time.Millisecond
	// testTime bounds each exchange that a test starts.
	testTime = 90 * time.Second

	// The ports on each cluster's own addresses.
	callerPort = 7080
	peerPort   = 7081
	relayPort  = 7082
	standPort  = 7090

	// addressesEach is how many loopback addresses each cluster has.
	addressesEach = 16
	// The addresses of the stand-ins and of the first node within them.
	platformHost = 1
	poolHost     = 2
	firstNode    = 2
)

// zones are those of the six nodes of Quillmark.
var zones = []identifier.Zone{"boston-a", "boston-a", "boston-b", "boston-b", "providence", "portland-me"}

// clusters bounds the clusters that run at once; there are more tests than the
// machine runs processes for in good time.
var (
	clusters    = make(chan struct{}, 3)
	clusterSeen atomic.Int64
)

// options are what differs between the tests' clusters.
type options struct {
	// retention is that of the platform's log; empty is its default.
	retention string
	// overrides are files that are applied after Quillmark's.
	overrides map[string]string
	// drainTime bounds a planned stop; empty is 20 s.
	drainTime string
	// relays puts a relay before each node's caller port and each engine.
	relays bool
}

// cluster is the stand-ins and the nodes of one test, on addresses of its own.
type cluster struct {
	options options
	dir     string
	index   int64
	// platform and pool are the control sides of the stand-ins.
	platform standin.Control
	pool     standin.Control
	nodes    []*node
	started  int
	// relays by the address that others are told.
	relays map[string]*relay
}

// node is one process of the system.
type node struct {
	*process
	vm      identifier.VMID
	zone    identifier.Zone
	host    string
	address string
}

// newCluster starts the stand-ins and six nodes, applies Quillmark's folder and
// returns once all nodes agree.
func newCluster(t *testing.T, o options) *cluster {
	t.Helper()
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
	c := &cluster{
		options: o,
		dir:     t.TempDir(),
		index:   (clusterSeen.Add(1) - 1) % (256 / addressesEach),
		relays:  make(map[string]*relay),
	}
	c.startStandIns(t)
	for i, zone := range zones {
		c.startNode(t, identifier.VMID(fmt.Sprintf("entry-%d", i+1)), zone)
	}
	for _, n := range c.nodes {
		c.eventually(t, "the node answers", func() bool { return n.answers() })
	}
	c.apply(t)
	c.waitAgreed(t)
	return c
}

// host returns a loopback address of this process and cluster. The process id
// in it keeps test runs on one machine apart.
func (c *cluster) host(i int64) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, addressesEach*c.index+i)
}

func (c *cluster) startStandIns(t *testing.T) {
	t.Helper()
	c.platform.Address = fmt.Sprintf("%s:%d", c.host(platformHost), standPort)
	c.pool.Address = fmt.Sprintf("%s:%d", c.host(poolHost), standPort)
	args := []string{"platform", "--listen", c.platform.Address, "--list-lag", "1s"}
	if c.options.retention != "" {
		args = append(args, "--retention", c.options.retention)
	}
	start(t, c.dir, "platform", "dotterelhollow-standin", args...)
	c.eventually(t, "the platform answers", func() bool { return c.platform.Get(t.Context(), "/faults", nil) == nil })
	start(t, c.dir, "pool", "dotterelhollow-standin", "pool", "--listen", c.pool.Address,
		"--platform", c.platform.Address, "--host", c.host(poolHost),
		"--zone", "boston-a", "--zone", "boston-b", "--zone", "providence", "--zone", "portland-me",
		"--group", "pool=reading,kind=model,class=engine,model=reader-large,count=8,on_demand=2,slots=8,"+
			"tokens_per_second=40,prefill_per_second=4000,kv_tokens=65536,kv_bytes_per_token=131072,"+
			"transfer_rate=209715200,checks_fence=true",
		"--group", "pool=portal,kind=plain,class=small,count=4,on_demand=1,slots=32")
	c.eventually(t, "the pool answers", func() bool { return len(c.servers(t, "portal")) == 4 })
	if c.options.relays {
		for _, vm := range c.servers(t, "reading") {
			r := startRelay(t, c.host(poolHost)+":0", vm.Address)
			vm.Address = r.address()
			c.relays[string(vm.VM)] = r
			c.register(t, vm)
		}
	}
}

func (c *cluster) register(t *testing.T, vm encoder.VM) {
	t.Helper()
	require.NoError(t, c.platform.Post(t.Context(), "/admin/vms", vm, nil))
}

// servers returns the VMs of a pool that run now, at their own addresses.
func (c *cluster) servers(t *testing.T, pool identifier.PoolName) []encoder.VM {
	t.Helper()
	var all, found []encoder.VM
	if c.pool.Get(t.Context(), "/admin/vms", &all) != nil {
		return nil
	}
	for _, vm := range all {
		if vm.Pool == pool {
			found = append(found, vm)
		}
	}
	return found
}

// startNode starts a node on an address of its own.
func (c *cluster) startNode(t *testing.T, vm identifier.VMID, zone identifier.Zone) *node {
	t.Helper()
	c.started++
	require.Less(t, c.started+firstNode, addressesEach, "no address left")
	return c.startNodeAt(t, vm, zone, c.host(int64(firstNode+c.started)))
}

// startNodeAt starts a node at a given address, which may be that of an
// earlier incarnation.
func (c *cluster) startNodeAt(t *testing.T, vm identifier.VMID, zone identifier.Zone, host string) *node {
	t.Helper()
	listen := fmt.Sprintf("%s:%d", host, callerPort)
	n := &node{
		vm:      vm,
		zone:    zone,
		host:    host,
		address: listen,
	}
	if c.options.relays {
		r := startRelay(t, fmt.Sprintf("%s:%d", host, relayPort), listen)
		n.address = r.address()
		c.relays[string(vm)] = r
	}
	settings := filepath.Join(c.dir, string(vm))
	require.NoError(t, os.MkdirAll(settings, 0o700))
	text := fmt.Sprintf("[node]\nvm = %s\nzone = %s\nregion = new-england\ndrain_time = %s\n"+
		"[caller_port]\nlisten = %s\nadvertise = %s\n[peer_port]\nlisten = %s:%d\n"+
		"[platform]\naddress = %s\n[operator]\nkey_sha256 = %s\n",
		vm, zone, cmp.Or(c.options.drainTime, "20s"), listen, n.address, host, peerPort, c.platform.Address, operatorKeyHash)
	require.NoError(t, os.WriteFile(filepath.Join(settings, "10-node.ini"), []byte(text), 0o600))
	c.register(t, encoder.VM{
		VM:      vm,
		Zone:    zone,
		Class:   "small",
		Market:  catalog.Reclaimable,
		Address: fmt.Sprintf("%s:%d", host, peerPort),
	})
	n.process = start(t, c.dir, string(vm), "dotterelhollow", "serve", "--settings", settings)
	c.nodes = append(c.nodes, n)
	return n
}

// lose takes n off the nodes that are expected to be there.
func (c *cluster) lose(n *node) {
	kept := c.nodes[:0:0]
	for _, other := range c.nodes {
		if other != n {
			kept = append(kept, other)
		}
	}
	c.nodes = kept
}

// killNode ends n as the loss of its VM does.
func (c *cluster) killNode(t *testing.T, n *node) {
	t.Helper()
	n.kill()
	c.lose(n)
	require.NoError(t, c.platform.Delete(t.Context(), "/admin/vms/"+string(n.vm)))
}

// at returns the node with a caller address.
func (c *cluster) at(t *testing.T, address string) *node {
	t.Helper()
	for _, n := range c.nodes {
		if n.address == address {
			return n
		}
	}
	require.FailNow(t, "no node has the address", address)
	return nil
}

// others returns the nodes but n.
func (c *cluster) others(n *node) []*node {
	var all []*node
	for _, other := range c.nodes {
		if other != n {
			all = append(all, other)
		}
	}
	return all
}

func (c *cluster) addresses() []string {
	var all []string
	for _, n := range c.nodes {
		all = append(all, n.address)
	}
	return all
}

// setFaults sets fault switches of the platform.
func (c *cluster) setFaults(t *testing.T, faults map[string]any) {
	t.Helper()
	require.NoError(t, c.platform.Post(t.Context(), "/faults", faults, nil))
}

// reclaim gives notice to all VMs of a zone.
func (c *cluster) reclaim(t *testing.T, zone identifier.Zone, notice time.Duration) {
	t.Helper()
	require.NoError(t, c.platform.Post(t.Context(), "/admin/reclaim", platform.ReclaimRequest{
		Zone:     zone,
		OnDemand: true,
		NoticeMS: notice.Milliseconds(),
	}, nil))
}

// apply applies Quillmark's folder, with the test's own files, by the
// operators' command.
func (c *cluster) apply(t *testing.T) {
	t.Helper()
	folder := filepath.Join(c.dir, "quillmark")
	require.NoError(t, os.CopyFS(folder, os.DirFS(quillmark)))
	for name, text := range c.options.overrides {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	args := []string{"config", "apply", "--operator-key", operatorKey}
	for _, n := range c.nodes {
		args = append(args, "--node", n.address)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTime)
	defer cancel()
	out, err := exec.CommandContext(ctx, filepath.Join(programs, "dotterelhollow"), append(args, folder)...).CombinedOutput()
	require.NoError(t, err, "%s", out)
}

// status returns a node's view, or false where it has none to give.
func (n *node) status() (server.Status, bool) {
	var s server.Status
	code, _, body, err := n.operator(http.MethodGet, "/operator/v1/status", nil, nil)
	return s, err == nil && code == http.StatusOK && json.Unmarshal(body, &s) == nil
}

func (n *node) answers() bool {
	_, ok := n.status()
	return ok
}

// operatorTime bounds a request of an operator.
const operatorTime = 16 * time.Second

// operator sends a request as an operator.
func (n *node) operator(method, path string, header http.Header, body []byte) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTime)
	defer cancel()
	return exchange(ctx, method, n.address, path, operatorKey, header, body)
}

// exchange sends one request, follows no redirect and reads the whole answer.
func exchange(ctx context.Context, method, address, path, key string, header http.Header, body []byte) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	if header != nil {
		request.Header = header.Clone()
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Close = true
	client := http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, data, err
}

// waitAgreed waits until all nodes have the same configuration and see each
// other and all servers as live.
func (c *cluster) waitAgreed(t *testing.T) {
	t.Helper()
	c.eventually(t, "all nodes agree", c.agreed)
}

func (c *cluster) agreed() bool {
	var revision identifier.Revision
	for _, n := range c.nodes {
		s, ok := n.status()
		if !ok || s.Revision == 0 || revision != 0 && s.Revision != revision || !c.seesAll(s) {
			return false
		}
		revision = s.Revision
	}
	return true
}

func (c *cluster) seesAll(s server.Status) bool {
	alive := make(map[identifier.VMID]bool)
	for _, n := range s.Nodes {
		alive[n.VM] = n.State == "alive"
	}
	for _, n := range c.nodes {
		if !alive[n.vm] {
			return false
		}
	}
	loaded := 0
	for _, v := range s.Servers {
		if v.Slots > 0 {
			loaded++
		}
	}
	return loaded > 0
}

// eventually waits for a condition.
func (c *cluster) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, settleTime, tick, what)
}

// waitElapsed waits until a moment has come.
func (c *cluster) waitElapsed(t *testing.T, since time.Time, d time.Duration) {
	t.Helper()
	c.eventually(t, "the time has passed", func() bool { return time.Since(since) >= d })
}

// freeze stops a node as a paused VM does, thaw lets it go on.
func (n *node) freeze() { n.signal(syscall.SIGSTOP) }

func (n *node) thaw() { n.signal(syscall.SIGCONT) }
