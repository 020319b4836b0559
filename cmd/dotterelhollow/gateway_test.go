package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/starter"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
	"github.com/dotterelhollow/dotterelhollow/platform/standin"
)

// propagationTime is the time after which an update of one node has reached all
// others. It is a third of the required maximum.
const propagationTime = time.Second

// waitTimeout is the timeout of each wait, far above the expected milliseconds.
const waitTimeout = 20 * time.Second

const gatewayConfiguration = `{"version":%d,"routes":[
  {"name":"report","host":"api.example","path_prefix":"/reports/","kind":"streaming","timeout_ms":15000,
   "target_latency_ms":1000,"service":"reader","attempts":3,"resumable":true,"max_gap_ms":400},
  {"name":"slot","host":"api.example","path_prefix":"/slots/","kind":"unsafe","timeout_ms":5000,"service":"portal","attempts":1}%s],
 "services":[{"name":"reader","engine":{"slots":64},"scaling":{"minimum":1,"maximum":6,"boot_time_s":4.0,
   "spot_price":0.18,"zone_prices":{"boston-a":1.0}}},{"name":"portal"}],
 "limits":{"body_bytes":4096},
 "tenants":[{"name":"agency","api_keys":["secret"],"unit":"tokens","plain_tokens":10,"rate_per_s":100000,"burst":100000}]}`

// installation runs stand-ins and gateways in one process.
type installation struct {
	t            *testing.T
	store        *standin.Store
	cloud        *standin.Cloud
	engines      []*standin.Server
	portal       *standin.Server
	address      map[string]string
	nodes        []*gatewayNode
	storeAddress string
	cloudAddress string
	// allocatedPorts holds the ports already assigned to nodes.
	allocatedPorts map[netip.AddrPort]bool
	// moveStreams makes nodes that start later move running streams.
	moveStreams bool
}

type gatewayNode struct {
	*gateway
	signals chan os.Signal
	ended   chan error
}

func newInstallation(t *testing.T, nodes int) *installation {
	t.Helper()
	return newInstallationWith(t, nodes, 3, (*installation).listen)
}

// newInstallationWith returns an installation with the given numbers of nodes and
// engines. listen starts the HTTP server of each backend server.
func newInstallationWith(t *testing.T, nodes, engines int, listen func(*installation, http.Handler) string) *installation {
	t.Helper()
	in := &installation{
		allocatedPorts: map[netip.AddrPort]bool{},
		t:              t,
		store:          standin.NewStore(),
		cloud:          standin.NewCloud(),
		address:        map[string]string{},
	}
	in.storeAddress = in.listen(in.store)
	in.cloudAddress = in.listen(in.cloud)
	for i := range engines {
		in.engines = append(in.engines, &standin.Server{
			ID:            fmt.Sprintf("i-%d", i+1),
			Service:       "reader",
			Zone:          "boston-a",
			Events:        30,
			EventInterval: 10 * time.Millisecond,
		})
	}
	in.portal = &standin.Server{
		ID:      "i-9",
		Service: "portal",
		Zone:    "boston-a",
		Version: "v1",
	}
	for _, s := range append([]*standin.Server{in.portal}, in.engines...) {
		in.address[s.ID] = listen(in, s)
		require.NoError(t, s.Publish(in.store, in.address[s.ID], "ready"))
	}
	in.configure(1, "")
	var seed netip.AddrPort
	for i := range nodes {
		seed = in.start(i, seed)
	}
	for _, n := range in.nodes {
		require.Eventually(t, func() bool { return len(in.resolve(n)) == nodes }, waitTimeout, 20*time.Millisecond)
	}
	return in
}

func (in *installation) listen(h http.Handler) string {
	server := httptest.NewServer(h)
	in.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (in *installation) configure(version int, routes string) {
	in.store.Put("keyed.op", "config", fmt.Appendf(nil, gatewayConfiguration, version, routes))
}

// start starts a node with one seed, or none, and returns its peer address.
func (in *installation) start(i int, seed netip.AddrPort) netip.AddrPort {
	in.t.Helper()
	s := &starter.Settings{
		VM:               identifier.VMID(fmt.Sprintf("entry-%d", i+1)),
		Zone:             "boston-a",
		Region:           "new-england",
		Caller:           in.port(),
		Peer:             in.port(),
		Platform:         netip.MustParseAddrPort(in.storeAddress),
		DrainTime:        8 * timekeeper.Second,
		TimelineCapacity: 64,
		LogLevel:         "error",
		Gateway: &starter.Gateway{
			Directory:     in.port(),
			Readiness:     in.port(),
			Metrics:       in.port(),
			CloudAddress:  netip.MustParseAddrPort(in.cloudAddress),
			UsageWindow:   timekeeper.Second,
			MaxUsageDelay: 10 * timekeeper.Second,
			// Limits of the requests that a new version receives.
			ExposureShare: 0.1,
			ExposureSlack: 50,
			LogRetention:  5 * timekeeper.Minute,
			MemoryLimitMB: 284,
			MoveStreams:   in.moveStreams,
		},
	}
	if seed.IsValid() {
		s.Gateway.Seeds = []netip.AddrPort{seed}
	}
	n := &gatewayNode{
		gateway: newGateway("", s, io.Discard),
		signals: make(chan os.Signal, 2),
		ended:   make(chan error, 1),
	}
	go func() { n.ended <- n.serve(context.Background(), n.signals) }()
	in.nodes = append(in.nodes, n)
	in.t.Cleanup(func() {
		n.signals <- syscall.SIGTERM
		n.signals <- syscall.SIGTERM
		<-n.ended
	})
	return s.Peer.Advertised
}

// port returns a free port that it has not returned before: the kernel may soon
// reuse a closed port, and a node that can't listen on its port ends.
func (in *installation) port() starter.Port {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(in.t, err)
		address := netip.MustParseAddrPort(l.Addr().String())
		require.NoError(in.t, l.Close())
		if in.allocatedPorts[address] {
			continue
		}
		in.allocatedPorts[address] = true
		return starter.Port{
			Listen:     address,
			Advertised: address,
		}
	}
}

// resolve returns the addresses that a node's directory returns to callers.
func (in *installation) resolve(n *gatewayNode) []string {
	response, err := http.Get("http://" + n.settings.Gateway.Directory.Listen.String() + "/-/resolve?name=api.example")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// send sends a request to a node and returns the response and its body.
func (in *installation) send(n *gatewayNode, id, path, key string) (*http.Response, string, error) {
	in.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+n.settings.Caller.Listen.String()+path, strings.NewReader("prompt"))
	require.NoError(in.t, err)
	r.Host = "api.example"
	r.Header.Set("Dotterelhollow-Request-Id", id)
	r.Header.Set("Dotterelhollow-Deadline-Remaining", "10000")
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// completeStream returns an engine's answer with the given number of events.
func completeStream(events int) string {
	var b strings.Builder
	for n := range events {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n+1, n+1)
	}
	return b.String()
}

// Guards against answers cut short by an engine that aborts, calls that run twice, wrong refusals,
// usage windows that are reported twice, and servers that are never ordered.
func TestGatewayServes(t *testing.T) {
	in := newInstallation(t, 2)
	in.engines[0].AbortAfter.Store(10)
	for i := range 6 {
		id := fmt.Sprintf("r-%d", i)
		response, body, err := in.send(in.nodes[i%2], id, "/reports/1", "secret")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, completeStream(30), body)
		require.True(t, strings.HasSuffix(response.Header.Get("Dotterelhollow-Response-Signature"), "."+id))
	}
	response, body, err := in.send(in.nodes[0], "r-book", "/slots/1", "secret")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "prompt", body)
	require.Equal(t, map[string]int{"r-book": 1}, in.portal.Executions())

	for path, want := range map[string]int{
		"/reports/1": http.StatusUnauthorized,
		"/nowhere/1": http.StatusNotFound,
	} {
		response, _, err := in.send(in.nodes[1], "r-no", path, "guess")
		require.NoError(t, err)
		require.Equal(t, want, response.StatusCode)
	}
	require.Eventually(t, func() bool {
		sum := 0
		windows := map[int64]bool{}
		for _, report := range in.cloud.Reports() {
			require.False(t, windows[report.Window], "a window is reported once")
			windows[report.Window] = true
			sum += report.Counts["agency"]
		}
		return sum == 7
	}, waitTimeout, 50*time.Millisecond)
	require.Eventually(t, func() bool { return len(in.cloud.Orders()) > 0 }, waitTimeout, 50*time.Millisecond)
}

// Three nodes together must not exceed the rate limit that a server states.
func TestGatewayHonorsServerLimit(t *testing.T) {
	const (
		nodes  = 3
		rate   = 2
		enough = 3 * nodes
	)
	in := newInstallation(t, nodes)
	limit := strconv.Itoa(rate)
	in.portal.Limit.Store(&limit)
	pause := time.NewTicker(15 * time.Millisecond)
	defer pause.Stop()
	began := time.Now()
	served := 0
	for i := 0; served < enough; i++ {
		require.Less(t, time.Since(began), waitTimeout, "%d served", served)
		response, _, err := in.send(in.nodes[i%nodes], fmt.Sprintf("r-%d", i), "/slots/1", "secret")
		require.NoError(t, err)
		if response.StatusCode == http.StatusOK {
			served++
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		<-pause.C
	}
	elapsed := time.Since(began).Seconds()
	require.Len(t, in.portal.Executions(), served, "refused requests must not run")
	require.LessOrEqual(t, float64(served), rate*elapsed+nodes+1, "each node may send one request before it receives the limit")

	none := ""
	in.portal.Limit.Store(&none)
	for i, n := range in.nodes {
		require.Eventually(t, func() bool {
			response, _, err := in.send(n, fmt.Sprintf("free-%d-%d", i, time.Now().UnixNano()), "/slots/1", "secret")
			return err == nil && response.StatusCode == http.StatusOK
		}, waitTimeout, 20*time.Millisecond)
	}
}

// A server that states to be leaving must get no requests, also without a readable entry.
func TestGatewayHonorsStatedLeaving(t *testing.T) {
	in := newInstallation(t, 2)
	in.store.SetUnavailable(true)
	leaving := in.engines[0]
	leaving.Leaving.Store(true)
	sent := 0
	send := func() {
		response, _, err := in.send(in.nodes[sent%2], fmt.Sprintf("r-%d", sent), "/reports/1", "secret")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		sent++
	}
	require.Eventually(t, func() bool {
		send()
		return len(leaving.Executions()) > 0
	}, waitTimeout, time.Millisecond)
	<-time.After(propagationTime)
	before := leaving.Executions()
	for range 20 {
		send()
	}
	require.Equal(t, before, leaving.Executions())
}

// A server that asked for a pause must get no requests meanwhile, nor may callers wait for it.
func TestGatewayHonorsBackoff(t *testing.T) {
	const (
		nodes   = 2
		backoff = "5"
	)
	in := newInstallation(t, nodes)
	text := backoff
	in.portal.Backoff.Store(&text)
	began := time.Now()
	for i := range 10 * nodes {
		response, _, err := in.send(in.nodes[i%nodes], fmt.Sprintf("r-%d", i), "/slots/1", "secret")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
	}
	periods := int(time.Since(began)/(5*time.Second)) + 1
	require.LessOrEqual(t, in.portal.Rejections(), nodes*periods)
	require.Empty(t, in.portal.Executions())

	none := ""
	in.portal.Backoff.Store(&none)
	for i, n := range in.nodes {
		require.Eventually(t, func() bool {
			response, _, err := in.send(n, fmt.Sprintf("free-%d-%d", i, time.Now().UnixNano()), "/slots/1", "secret")
			return err == nil && response.StatusCode == http.StatusOK
		}, waitTimeout, 20*time.Millisecond)
	}
}

// Guards against nodes that together send a brittle server more than it has slots for.
func TestGatewayAllocatesSlotsOfBrittleServer(t *testing.T) {
	const (
		nodes    = 3
		requests = 10 * nodes
		slots    = 8
	)
	in := newInstallation(t, nodes)
	in.portal.Events = 50
	in.portal.EventInterval = 10 * time.Millisecond
	brittle := "3"
	in.portal.Brittle.Store(&brittle)
	for i, n := range in.nodes {
		response, _, err := in.send(n, fmt.Sprintf("first-%d", i), "/slots/1", "secret")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	statuses := make(chan int, requests)
	for i := range requests {
		go func() {
			response, _, err := in.send(in.nodes[i%nodes], fmt.Sprintf("r-%d", i), "/slots/1", "secret")
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	count := map[int]int{}
	for range requests {
		count[<-statuses]++
	}
	require.Equal(t, requests, count[http.StatusOK]+count[http.StatusServiceUnavailable], "%v", count)
	require.GreaterOrEqual(t, count[http.StatusOK], slots)
	require.LessOrEqual(t, in.portal.MaxRunning(), slots)
	require.Len(t, in.portal.Executions(), nodes+count[http.StatusOK], "refused requests must not run")
}

// A node that starts while the store is unavailable receives the configuration
// from its peers and serves requests.
func TestGatewayWithoutStore(t *testing.T) {
	in := newInstallation(t, 2)
	in.configure(2, `,{"name":"new","host":"api.example","path_prefix":"/new/","kind":"unsafe","timeout_ms":5000,"service":"portal","attempts":1}`)
	require.Eventually(t, func() bool {
		response, _, err := in.send(in.nodes[0], "r-1", "/new/1", "secret")
		return err == nil && response.StatusCode == http.StatusOK
	}, waitTimeout, 20*time.Millisecond)
	in.store.SetUnavailable(true)
	seed := in.nodes[0].settings.Peer.Advertised
	in.start(2, seed)
	require.Eventually(t, func() bool {
		response, _, err := in.send(in.nodes[2], "r-2", "/new/1", "secret")
		return err == nil && response.StatusCode == http.StatusOK
	}, waitTimeout, 20*time.Millisecond)
}

// listenCrashing starts a server that simulates a crash when it receives a
// request for a path ending in /deadly: it closes its port and connections.
func (in *installation) listenCrashing(h http.Handler) string {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/deadly") {
			h.ServeHTTP(w, r)
			return
		}
		_ = server.Listener.Close()
		server.CloseClientConnections()
	}))
	in.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against a second node sending a request that has already crashed three engines, and
// against an outage for other requests.
func TestGatewayRefusesQueryOfDeath(t *testing.T) {
	in := newInstallationWith(t, 2, 5, (*installation).listenCrashing)
	response, _, err := in.send(in.nodes[0], "r-2", "/reports/deadly", "secret")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	// The other node receives the quarantine at the next tick. Before that it
	// would send the request.
	<-time.After(propagationTime)
	response, _, err = in.send(in.nodes[1], "r-3", "/reports/deadly", "secret")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "600", response.Header.Get("Retry-After"))
	for i := range 4 {
		response, body, err := in.send(in.nodes[i%2], fmt.Sprintf("r-4%d", i), "/reports/1", "secret")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, completeStream(30), body)
	}
}

// A node that drains while it forwards a stream must complete the stream, leave
// the directory, and end its process.
func TestGatewayPlannedStop(t *testing.T) {
	in := newInstallation(t, 2)
	for _, e := range in.engines {
		e.EventInterval = 50 * time.Millisecond
	}
	type result struct {
		body string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		_, body, err := in.send(in.nodes[1], "r-1", "/reports/1", "secret")
		done <- result{
			body: body,
			err:  err,
		}
	}()
	require.Eventually(t, func() bool {
		for _, e := range in.engines {
			if e.Executions()["r-1"] > 0 {
				return true
			}
		}
		return false
	}, waitTimeout, 5*time.Millisecond)
	in.nodes[1].signals <- syscall.SIGTERM
	require.Eventually(t, func() bool { return len(in.resolve(in.nodes[0])) == 1 }, waitTimeout, 20*time.Millisecond)
	got := <-done
	require.NoError(t, got.err)
	require.Equal(t, completeStream(30), got.body)
	require.NoError(t, <-in.nodes[1].ended)
	in.nodes[1].ended <- nil
}

// Guards against callers without an answer because their servers are silent at the end of a planned stop.
func TestGatewayAnswersBeforeItStops(t *testing.T) {
	received := make(chan struct{}, 16)
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		received <- struct{}{}
		<-r.Context().Done()
	})
	in := newInstallationWith(t, 2, 3, func(in *installation, h http.Handler) string {
		if _, server := h.(*standin.Server); server {
			h = silent
		}
		return in.listen(h)
	})
	in.nodes[1].settings.DrainTime = 3 * timekeeper.Second
	status := make(chan int, 1)
	go func() {
		response, _, err := in.send(in.nodes[1], "r-1", "/reports/1", "secret")
		if err != nil {
			status <- 0
			return
		}
		status <- response.StatusCode
	}()
	<-received
	in.nodes[1].signals <- syscall.SIGTERM
	require.Equal(t, http.StatusGatewayTimeout, <-status)
	require.NoError(t, <-in.nodes[1].ended)
	in.nodes[1].ended <- nil
}

// The settings that the platform renders from the template must load, and all
// faults of a broken file must be reported together.
func TestGatewaySettings(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.ini")
	require.NoError(t, err)
	fill := strings.NewReplacer(
		"{{node_name}}", "front-boston-a-1",
		"{{zone}}", "boston-a",
		"{{region}}", "new-england",
		"{{bounds.grace_s}}", "8",
		"{{bounds.drain_ms}}", "3000",
		"{{listen_addresses.front}}", "10.1.0.14:8221",
		"{{listen_addresses.control}}", "10.1.0.14:8229",
		"{{listen_addresses.directory}}", "10.1.0.14:8220",
		"{{listen_addresses.readiness}}", "10.1.0.14:8224",
		"{{ip_address}}", "10.1.0.14",
		"{{internal_ports.0}}", "7600",
		"{{platform.address}}", "10.200.1.7:8225",
		"{{platform.keep_s}}", "300",
		"{{cloud_api.address}}", "10.200.0.35:8225",
		"{{seeds}}", "10.1.0.14:8229,10.2.0.4:8229",
		"{{bounds.usage_window_s}}", "5",
		"{{bounds.usage_late_s}}", "10",
		"{{bounds.exposure_share}}", "0.1",
		"{{bounds.exposure_slack}}", "50",
		"{{bounds.exposure_share}}", "0.1",
		"{{bounds.exposure_slack}}", "50",
		"{{bounds.quota_window_s}}", "8",
		"{{limits.memory_mb}}", "284",
		"{{limits.cpu_share}}", "0.8",
		"{{limits.link_speed_mbps}}", "200.0",
	)
	sections := regexp.MustCompile(`(?m)^\{\{[#/].*\}\}\n`)
	text := fill.Replace(sections.ReplaceAllString(string(template), ""))
	require.NotContains(t, text, "{{")
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	settings, err := starter.Load(path)
	require.NoError(t, err)
	require.NotNil(t, settings.Gateway)
	require.Len(t, settings.Gateway.Seeds, 2)
	require.Equal(t, 5*timekeeper.Second, settings.Gateway.UsageWindow)
	require.Equal(t, 8*timekeeper.Second, settings.DrainTime)
	require.Equal(t, 8*timekeeper.Second, settings.Gateway.LimitWindow)
	require.False(t, settings.Gateway.FairShares)
	require.Equal(t, uint32(800), capacity(settings.Gateway), "both the processor and the link")
	require.True(t, settings.Gateway.MoveStreams)
	require.Equal(t, 3*timekeeper.Second, settings.Gateway.ServerDrain)
	require.False(t, settings.Gateway.SharedRates)

	optional := regexp.MustCompile(`(?ms)^\{\{#.*?^\{\{/[^\n]*\n`)
	minimal := fill.Replace(optional.ReplaceAllString(string(template), ""))
	require.NoError(t, os.WriteFile(path, []byte(minimal), 0o600))
	settings, err = starter.Load(path)
	require.NoError(t, err, "a platform without leader tasks is supported")
	require.False(t, settings.Gateway.CloudAddress.IsValid())
	require.Zero(t, settings.Gateway.LimitWindow)
	require.Zero(t, capacity(settings.Gateway))
	require.False(t, settings.Gateway.MoveStreams)
	require.False(t, settings.Gateway.SharedRates)
	require.False(t, settings.Gateway.FairShares)

	broken := strings.NewReplacer("usage_window = 5s", "usage_window = soon\nfair_shares = maybe", "stream_moves = on", "stream_moves = yes", "10.1.0.14:8220", "nowhere").Replace(text)
	require.NoError(t, os.WriteFile(path, []byte(broken), 0o600))
	_, err = starter.Load(path)
	require.ErrorContains(t, err, "usage_window")
	require.ErrorContains(t, err, "fair_shares")
	require.ErrorContains(t, err, "one of on, off")
	require.ErrorContains(t, err, "directory_port")
	require.ErrorContains(t, err, "stream_moves: expected one of on, off")
}
