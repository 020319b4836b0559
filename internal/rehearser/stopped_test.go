package rehearser

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/platform/standin"
)

// stoppedRuns is the number of seeds that TestStoppedServersRunNothingTwice plays. Run it with
// go test ./internal/rehearser -run TestStoppedServers -stopped-runs 50.
var stoppedRuns = flag.Int("stopped-runs", 1, "seeds of TestStoppedServersRunNothingTwice")

const (
	// serverVariable makes the test binary run as a backend server with these properties.
	serverVariable = "REHEARSER_SERVER"
	// maxOverlap is the time for which two servers may work on one stream.
	maxOverlap = 400 * time.Millisecond
	runTime    = 12 * time.Second

	stoppedConfiguration = `{"version":1,"routes":[
 {"name":"report","host":"api.example","path_prefix":"/reports/","kind":"streaming","timeout_ms":8000,
  "target_latency_ms":400,"service":"reader","attempts":3,"resumable":true,"max_gap_ms":200},
 {"name":"slot","host":"api.example","path_prefix":"/slots/","kind":"unsafe","timeout_ms":3000,"service":"portal","attempts":1}],
 "services":[{"name":"reader","engine":{"slots":64}},{"name":"portal"}],
 "limits":{"body_bytes":4096},"tenants":[{"name":"agency","api_keys":["secret"]}]}`

	gatewaySettings = `[node]
vm = entry-%[1]d
zone = boston-a
region = new-england
drain_time = 1s
[caller_port]
listen = %[2]s
[peer_port]
listen = %[3]s
[directory_port]
listen = %[4]s
[readiness_port]
listen = %[5]s
[metrics_port]
listen = %[6]s
[platform]
address = %[7]s
[gateway]
seeds = %[8]s
cloud = %[9]s
usage_window = 5s
usage_late = 10s
limit_window = 8s
log_retention = 300s
memory_mb = 284
`
)

// serverProperties are those of a backend server that runs as a process of its own.
type serverProperties struct {
	ID, Service, Address string
	Events               int
	// Work is the file that receives the server's work at its end.
	Work string
}

// serve runs a backend server until SIGTERM, and then writes its work.
func (p serverProperties) serve() error {
	s := &standin.Server{
		ID:              p.ID,
		Service:         p.Service,
		Events:          p.Events,
		EventInterval:   20 * time.Millisecond,
		FirstEventDelay: 150 * time.Millisecond,
	}
	if p.Events == 0 {
		s.FirstEventDelay = 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	server := &http.Server{
		Addr:    p.Address,
		Handler: s,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	if err := server.Close(); err != nil {
		return err
	}
	data, err := json.Marshal(s.Work())
	if err != nil {
		return err
	}
	return os.WriteFile(p.Work, data, 0o600)
}

// resettingProxy passes bytes between nodes and a server until it is reset.
type resettingProxy struct {
	listener net.Listener
	server   string

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
}

func startProxy(t *testing.T, server string) *resettingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &resettingProxy{
		listener: l,
		server:   server,
		conns:    map[*net.TCPConn]struct{}{},
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-ended
		p.reset()
	})
	return p
}

func (p *resettingProxy) pass(node *net.TCPConn) {
	defer func() { _ = node.Close() }()
	c, err := net.Dial("tcp", p.server)
	if err != nil {
		_ = node.SetLinger(0)
		return
	}
	defer func() { _ = c.Close() }()
	p.track(node, true)
	defer p.track(node, false)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(node, c)
		_ = node.Close()
	}()
	_, _ = io.Copy(c, node)
	_ = c.Close()
	<-ended
}

func (p *resettingProxy) track(c *net.TCPConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = struct{}{}
		return
	}
	delete(p.conns, c)
}

// reset resets all connections of nodes.
func (p *resettingProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// gatewayRun is one seed: nodes and backend servers are processes of their own.
type gatewayRun struct {
	t       *testing.T
	dir     string
	random  *rand.Rand
	callers []string
	servers []*stoppableServer
	// nodeLogs are the files of the nodes' logs.
	nodeLogs []string

	mu       sync.Mutex
	statuses map[string]int
	whole    int
	notes    []string
}

type stoppableServer struct {
	*process
	properties serverProperties
	proxy      *resettingProxy
}

func startGatewayRun(t *testing.T, seed uint64) *gatewayRun {
	t.Helper()
	r := &gatewayRun{
		t:        t,
		dir:      t.TempDir(),
		random:   rand.New(rand.NewPCG(seed, 0)),
		statuses: map[string]int{},
	}
	store := standin.NewStore()
	cloud := standin.NewCloud()
	addresses := []string{}
	for _, h := range []http.Handler{store, cloud} {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	store.Put("keyed.op", "config", []byte(stoppedConfiguration))
	const readers, portals, nodes, portsOfNode = 5, 3, 3, 5
	free := freePorts(t, readers+portals+portsOfNode*nodes)
	for i := range readers + portals {
		p := serverProperties{
			ID:      fmt.Sprintf("i-%d", i+1),
			Service: "reader",
			Address: free[0],
			Events:  60,
			Work:    filepath.Join(r.dir, fmt.Sprintf("work-%d.json", i+1)),
		}
		if i >= readers {
			p.Service, p.Events = "portal", 0
		}
		free = free[1:]
		s := &stoppableServer{
			process:    startServerProcess(t, r.dir, p),
			properties: p,
			proxy:      startProxy(t, p.Address),
		}
		r.servers = append(r.servers, s)
		entry := &standin.Server{
			ID:      p.ID,
			Service: p.Service,
			Zone:    "boston-a",
			Version: "v1",
		}
		require.NoError(t, entry.Publish(store, s.proxy.listener.Addr().String(), "ready"))
	}
	seedAddress := free[1]
	for i := range nodes {
		a := free[portsOfNode*i:]
		dir := filepath.Join(r.dir, fmt.Sprintf("node-%d", i))
		require.NoError(t, os.MkdirAll(dir, 0o700))
		text := fmt.Sprintf(gatewaySettings, i+1, a[0], a[1], a[2], a[3], a[4], addresses[0], seedAddress, addresses[1])
		require.NoError(t, os.WriteFile(filepath.Join(dir, "10-node.ini"), []byte(text), 0o600))
		node := start(t, r.dir, fmt.Sprintf("node-%d", i), "dotterelhollow", "serve", "--settings", dir)
		r.nodeLogs = append(r.nodeLogs, node.log)
		r.callers = append(r.callers, a[0])
		require.Eventually(t, func() bool { return ready(a[3]) }, settleTimeout, pollInterval)
	}
	return r
}

func ready(address string) bool {
	response, err := http.Get("http://" + address + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// freePorts returns loopback addresses that were free, below the ports of outgoing connections.
func freePorts(t *testing.T, count int) []string {
	t.Helper()
	var out []string
	for len(out) < count {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out
}

// startServerProcess starts the test binary as a backend server.
func startServerProcess(t *testing.T, dir string, properties serverProperties) *process {
	t.Helper()
	text, err := json.Marshal(properties)
	require.NoError(t, err)
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), serverVariable+"="+string(text))
	return startCommand(t, dir, properties.ID, command)
}

// send sends a request and records the status of its answer.
func (r *gatewayRun) send(id, node, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, strings.NewReader("prompt"))
	if err != nil {
		return
	}
	request.Host = "api.example"
	request.Header.Set("Dotterelhollow-Request-Id", id)
	request.Header.Set("Dotterelhollow-Deadline-Remaining", "5000")
	request.Header.Set("Authorization", "Bearer secret")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[id] = response.StatusCode
	if err == nil && response.StatusCode == http.StatusOK {
		r.whole++
	}
}

// note records what was done to a server.
func (r *gatewayRun) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// explain logs what the nodes and the servers did with a request, and what was done to the servers.
func (r *gatewayRun) explain(id string, runs []standin.Work) {
	for _, w := range runs {
		r.t.Logf("%s at %s from %s to %s", id, w.Server, w.Began.UTC().Format("15:04:05.000"), w.Ended.UTC().Format("15:04:05.000"))
	}
	for _, file := range r.nodeLogs {
		data, err := os.ReadFile(file)
		require.NoError(r.t, err)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, `"`+id+`"`) {
				r.t.Log(strings.TrimSpace(line))
			}
		}
	}
	r.t.Log(strings.Join(r.notes, "\n"))
}

// sortByAttempt sorts the runs of a request in the order of its attempts. A server that is stopped
// begins its run, if only to drop it, when it goes on, which may be after the next one has begun.
func (r *gatewayRun) sortByAttempt(id string, runs []standin.Work) {
	attempt := map[string]int{}
	for _, file := range r.nodeLogs {
		data, err := os.ReadFile(file)
		require.NoError(r.t, err)
		for line := range strings.Lines(string(data)) {
			var entry struct {
				Message  string `json:"@message"`
				Request  string `json:"request"`
				Server   string `json:"server"`
				Attempt  int    `json:"attempt"`
				Attempts int    `json:"attempts"`
			}
			if !strings.Contains(line, id) || json.Unmarshal([]byte(line), &entry) != nil || entry.Request != id {
				continue
			}
			switch entry.Message {
			case "attempt ended", "exchange ended":
				attempt[entry.Server] = max(entry.Attempt, entry.Attempts)
			}
		}
	}
	slices.SortFunc(runs, func(a, b standin.Work) int { return cmp.Compare(attempt[a.Server], attempt[b.Server]) })
}

// play sends requests while servers are stopped and their connections reset.
func (r *gatewayRun) play() {
	var wait sync.WaitGroup
	end := time.Now().Add(runTime)
	for i := 0; time.Now().Before(end); i++ {
		path := "/reports/1"
		if i%3 == 0 {
			path = "/slots/1"
		}
		node := r.callers[i%len(r.callers)]
		wait.Go(func() { r.send(fmt.Sprintf("r-%d", i), node, path) })
		if i%25 == 0 {
			s := r.servers[r.random.IntN(len(r.servers))]
			stopped := time.Duration(500+r.random.IntN(900)) * time.Millisecond
			reset := time.Duration(r.random.IntN(500)) * time.Millisecond
			s.signal(syscall.SIGSTOP)
			r.note("%s is stopped", s.properties.ID)
			wait.Go(func() {
				<-time.After(reset)
				s.proxy.reset()
				r.note("connections to %s are reset", s.properties.ID)
				<-time.After(stopped - min(reset, stopped))
				s.signal(syscall.SIGCONT)
				r.note("%s goes on", s.properties.ID)
			})
		}
		<-time.After(20 * time.Millisecond)
	}
	wait.Wait()
	<-time.After(500 * time.Millisecond)
}

// work ends the servers and returns what they did, by request.
func (r *gatewayRun) work() map[string][]standin.Work {
	work := map[string][]standin.Work{}
	for _, s := range r.servers {
		s.signal(syscall.SIGTERM)
		<-s.ended
		data, err := os.ReadFile(s.properties.Work)
		require.NoError(r.t, err)
		var done []standin.Work
		require.NoError(r.t, json.Unmarshal(data, &done))
		for _, w := range done {
			work[w.Request] = append(work[w.Request], w)
		}
	}
	return work
}

// Guards against requests that run twice or after a refusal, as the connections of stopped servers are reset.
func TestStoppedServersRunNothingTwice(t *testing.T) {
	for seed := range *stoppedRuns {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := startGatewayRun(t, uint64(seed))
			r.play()
			repeated, overlaps, twice, refused := 0, 0, 0, 0
			for id, runs := range r.work() {
				r.sortByAttempt(id, runs)
				for i, later := range runs[1:] {
					repeated++
					overlap := runs[i].Ended.Sub(later.Began)
					switch {
					case later.Service == "portal":
						twice++
						r.explain(id, runs)
					case overlap > maxOverlap:
						overlaps++
						t.Logf("%s runs at %s for %v after %s has begun it", id, runs[i].Server, overlap, later.Server)
						r.explain(id, runs)
					}
				}
				status := r.statuses[id]
				if runs[0].Service == "portal" && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
					refused++
					t.Logf("%s runs and is answered %d", id, status)
					r.explain(id, runs)
				}
			}
			t.Logf("%d requests, %d whole, %d repeated", len(r.statuses), r.whole, repeated)
			require.NotZero(t, repeated)
			require.Zero(t, overlaps+twice+refused, "%d overlaps, %d run twice, %d refused", overlaps, twice, refused)
		})
	}
}
