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

	// settleTimeout limits the wait for conditions that take a few seconds at most.
	settleTimeout = 20 * time.Second
	pollInterval  = 50 * time.Millisecond
	// testTimeout limits each exchange that a test starts.
	testTimeout = 90 * time.Second

	// The ports on each cluster's addresses.
	callerPort  = 7080
	peerPort    = 7081
	relayPort   = 7082
	standInPort = 7090

	addressesPerCluster = 16
	// The offsets of the stand-ins and of the first node within a cluster's addresses.
	platformHost = 1
	poolHost     = 2
	firstNode    = 2
)

// zones are the zones of the six nodes of the Quillmark example.
var zones = []identifier.Zone{"boston-a", "boston-a", "boston-b", "boston-b", "providence", "portland-me"}

// clusterSlots limits the clusters that run at once, because each runs many processes.
var (
	clusterSlots = make(chan struct{}, 3)
	clusterCount atomic.Int64
)

// options are the differences between the tests' clusters.
type options struct {
	// retention is the retention of the platform's log; if empty, its default.
	retention string
	// overrides are configuration files applied after those of Quillmark.
	overrides map[string]string
	// drainTime limits a planned stop; if empty, it is 20 s.
	drainTime string
	// relays puts a TCP relay in front of each node's caller port and each engine.
	relays bool
}

// cluster holds the stand-ins and the nodes of one test, on addresses of their own.
type cluster struct {
	options options
	dir     string
	index   int64
	// platform and pool control the stand-ins.
	platform standin.Control
	pool     standin.Control
	nodes    []*node
	started  int
	// relays holds the relays of nodes and engines by the VM they stand in front of.
	relays map[string]*relay
}

// node is one process of the system under test.
type node struct {
	*process
	vm      identifier.VMID
	zone    identifier.Zone
	host    string
	address string
}

// newCluster starts the stand-ins and six nodes, applies Quillmark's configuration and
// returns once all nodes have converged.
func newCluster(t *testing.T, o options) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{
		options: o,
		dir:     t.TempDir(),
		index:   (clusterCount.Add(1) - 1) % (256 / addressesPerCluster),
		relays:  make(map[string]*relay),
	}
	c.startStandIns(t)
	for i, zone := range zones {
		c.startNode(t, identifier.VMID(fmt.Sprintf("entry-%d", i+1)), zone)
	}
	for _, n := range c.nodes {
		c.eventually(t, "the node answers", func() bool { return n.responds() })
	}
	c.apply(t)
	c.waitConverged(t)
	return c
}

// host returns a loopback address of this cluster. It contains the process id, so that
// test runs on one machine don't collide.
func (c *cluster) host(i int64) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, addressesPerCluster*c.index+i)
}

func (c *cluster) startStandIns(t *testing.T) {
	t.Helper()
	c.platform.Address = fmt.Sprintf("%s:%d", c.host(platformHost), standInPort)
	c.pool.Address = fmt.Sprintf("%s:%d", c.host(poolHost), standInPort)
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

// servers returns the running VMs of a pool with their own addresses.
func (c *cluster) servers(t *testing.T, pool identifier.PoolName) []encoder.VM {
	t.Helper()
	var all, servers []encoder.VM
	if c.pool.Get(t.Context(), "/admin/vms", &all) != nil {
		return nil
	}
	for _, vm := range all {
		if vm.Pool == pool {
			servers = append(servers, vm)
		}
	}
	return servers
}

// startNode starts a node on a new address.
func (c *cluster) startNode(t *testing.T, vm identifier.VMID, zone identifier.Zone) *node {
	t.Helper()
	c.started++
	require.Less(t, c.started+firstNode, addressesPerCluster, "no address left")
	return c.startNodeAt(t, vm, zone, c.host(int64(firstNode+c.started)))
}

// startNodeAt starts a node on a given address, which an earlier incarnation may have
// had.
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

// removeNode removes n from the nodes that are expected to run.
func (c *cluster) removeNode(n *node) {
	remaining := c.nodes[:0:0]
	for _, other := range c.nodes {
		if other != n {
			remaining = append(remaining, other)
		}
	}
	c.nodes = remaining
}

// killNode kills n and its VM without notice.
func (c *cluster) killNode(t *testing.T, n *node) {
	t.Helper()
	n.kill()
	c.removeNode(n)
	require.NoError(t, c.platform.Delete(t.Context(), "/admin/vms/"+string(n.vm)))
}

// nodeAt returns the node with a caller address.
func (c *cluster) nodeAt(t *testing.T, address string) *node {
	t.Helper()
	for _, n := range c.nodes {
		if n.address == address {
			return n
		}
	}
	require.FailNow(t, "no node has the address", address)
	return nil
}

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

// apply applies Quillmark's configuration and the test's overrides with the operators'
// command.
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
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, filepath.Join(programs, "dotterelhollow"), append(args, folder)...).CombinedOutput()
	require.NoError(t, err, "%s", out)
}

// status returns a node's status, or false if the node does not return one.
func (n *node) status() (server.Status, bool) {
	var s server.Status
	code, _, body, err := n.operator(http.MethodGet, "/operator/v1/status", nil, nil)
	return s, err == nil && code == http.StatusOK && json.Unmarshal(body, &s) == nil
}

func (n *node) responds() bool {
	_, ok := n.status()
	return ok
}

const operatorTimeout = 16 * time.Second

func (n *node) operator(method, path string, header http.Header, body []byte) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	return exchange(ctx, method, n.address, path, operatorKey, header, body)
}

// exchange sends one request, follows no redirect and reads the complete response.
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

// waitConverged waits until all nodes have the same configuration and see each other
// and all servers as alive.
func (c *cluster) waitConverged(t *testing.T) {
	t.Helper()
	c.eventually(t, "all nodes agree", c.converged)
}

func (c *cluster) converged() bool {
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

func (c *cluster) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, settleTimeout, pollInterval, what)
}

// waitElapsed waits until d has passed since a time.
func (c *cluster) waitElapsed(t *testing.T, since time.Time, d time.Duration) {
	t.Helper()
	c.eventually(t, "the time has passed", func() bool { return time.Since(since) >= d })
}

// freeze pauses a node as if its VM were paused; thaw resumes it.
func (n *node) freeze() { n.signal(syscall.SIGSTOP) }

func (n *node) thaw() { n.signal(syscall.SIGCONT) }
