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

// newsTime is when all nodes have heard of what one has found, a third of what the
// users allow.
const newsTime = time.Second

// patience bounds each wait of these tests, which are for milliseconds.
const patience = 20 * time.Second

const gatewayConfiguration = `{"version":%d,"routes":[
  {"name":"report","host":"api.example","path_prefix":"/reports/","kind":"streaming","timeout_ms":15000,
   "target_latency_ms":1000,"service":"reader","attempts":3,"resumable":true,"max_gap_ms":400},
  {"name":"slot","host":"api.example","path_prefix":"/slots/","kind":"unsafe","timeout_ms":5000,"service":"portal","attempts":1}%s],
 "services":[{"name":"reader","engine":{"slots":64},"scaling":{"minimum":1,"maximum":6,"boot_time_s":4.0,
   "spot_price":0.18,"zone_prices":{"boston-a":1.0}}},{"name":"portal"}],
 "limits":{"body_bytes":4096},
 "tenants":[{"name":"agency","api_keys":["secret"],"unit":"tokens","plain_tokens":10,"rate_per_s":100000,"burst":100000}]}`

// installation is stand-ins and gateways in one process.
type installation struct {
	t       *testing.T
	store   *standin.Store
	cloud   *standin.Cloud
	engines []*standin.Server
	portal  *standin.Server
	address map[string]string
	nodes   []*gatewayNode
	// storeAddress and cloudAddress are the stand-ins' addresses.
	storeAddress string
	cloudAddress string
	// given are the ports that nodes were given.
	given map[netip.AddrPort]bool
}

type gatewayNode struct {
	*gateway
	signals chan os.Signal
	ended   chan error
}

func newInstallation(t *testing.T, nodes int) *installation {
	t.Helper()
	return newInstallationOf(t, nodes, 3, (*installation).listen)
}

// newInstallationOf returns one with so many engines, each of which listens as told.
func newInstallationOf(t *testing.T, nodes, engines int, listen func(*installation, http.Handler) string) *installation {
	t.Helper()
	in := &installation{
		given:   map[netip.AddrPort]bool{},
		t:       t,
		store:   standin.NewStore(),
		cloud:   standin.NewCloud(),
		address: map[string]string{},
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
		require.Eventually(t, func() bool { return len(in.resolve(n)) == nodes }, patience, 20*time.Millisecond)
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

// start starts a node that knows one other, and returns its peer address.
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
			// What the roll-outs of versions are judged by.
			ExposureShare: 0.1,
			ExposureSlack: 50,
			LogRetention:  5 * timekeeper.Minute,
			MemoryLimitMB: 284,
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

// port returns a free port, each only once: the kernel gives one that was closed again
// soon, so that of the ten ports of two nodes two were the same in one run of 150, and
// a node that could not listen ended.
func (in *installation) port() starter.Port {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(in.t, err)
		address := netip.MustParseAddrPort(l.Addr().String())
		require.NoError(in.t, l.Close())
		if in.given[address] {
			continue
		}
		in.given[address] = true
		return starter.Port{
			Listen:     address,
			Advertised: address,
		}
	}
}

// resolve returns the addresses that a node gives to callers.
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

// ask sends a request to a node.
func (in *installation) ask(n *gatewayNode, id, path, key string) (*http.Response, string, error) {
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

// wholeStream is all events of an engine's answer.
func wholeStream(events int) string {
	var b strings.Builder
	for n := range events {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n+1, n+1)
	}
	return b.String()
}

// The whole path: callers ask which nodes there are and get a report, whose
// engines break off in the middle, whole and under its first engine's
// signature; a booking; and true refusals. The usage is reported, and servers
// are ordered, by one node.
func TestGatewayServes(t *testing.T) {
	in := newInstallation(t, 2)
	in.engines[0].AbortAfter.Store(10)
	for i := range 6 {
		id := fmt.Sprintf("r-%d", i)
		response, body, err := in.ask(in.nodes[i%2], id, "/reports/1", "secret")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, wholeStream(30), body)
		require.True(t, strings.HasSuffix(response.Header.Get("Dotterelhollow-Response-Signature"), "."+id))
	}
	response, body, err := in.ask(in.nodes[0], "r-book", "/slots/1", "secret")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "prompt", body)
	require.Equal(t, map[string]int{"r-book": 1}, in.portal.Executions())

	for path, want := range map[string]int{
		"/reports/1": http.StatusUnauthorized,
		"/nowhere/1": http.StatusNotFound,
	} {
		response, _, err := in.ask(in.nodes[1], "r-no", path, "guess")
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
	}, patience, 50*time.Millisecond)
	require.Eventually(t, func() bool { return len(in.cloud.Orders()) > 0 }, patience, 50*time.Millisecond)
}

// The only server of a service states a limit, and each of three nodes sends as if it were alone.
func TestGatewayKeepsTheLimitOfAServer(t *testing.T) {
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
		require.Less(t, time.Since(began), patience, "%d served", served)
		response, _, err := in.ask(in.nodes[i%nodes], fmt.Sprintf("r-%d", i), "/slots/1", "secret")
		require.NoError(t, err)
		if response.StatusCode == http.StatusOK {
			served++
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		<-pause.C
	}
	took := time.Since(began).Seconds()
	require.Len(t, in.portal.Executions(), served, "what was refused has not run")
	require.LessOrEqual(t, float64(served), rate*took+nodes+1, "each node may send one before it knows")

	none := ""
	in.portal.Limit.Store(&none)
	for i, n := range in.nodes {
		require.Eventually(t, func() bool {
			response, _, err := in.ask(n, fmt.Sprintf("free-%d-%d", i, time.Now().UnixNano()), "/slots/1", "secret")
			return err == nil && response.StatusCode == http.StatusOK
		}, patience, 20*time.Millisecond)
	}
}

// The store is away. A change that one node read before is in force at a node
// that reads nothing, because its peers tell it; and requests are served.
func TestGatewayWithoutTheStore(t *testing.T) {
	in := newInstallation(t, 2)
	in.configure(2, `,{"name":"new","host":"api.example","path_prefix":"/new/","kind":"unsafe","timeout_ms":5000,"service":"portal","attempts":1}`)
	require.Eventually(t, func() bool {
		response, _, err := in.ask(in.nodes[0], "r-1", "/new/1", "secret")
		return err == nil && response.StatusCode == http.StatusOK
	}, patience, 20*time.Millisecond)
	in.store.SetUnavailable(true)
	seed := in.nodes[0].settings.Peer.Advertised
	in.start(2, seed)
	require.Eventually(t, func() bool {
		response, _, err := in.ask(in.nodes[2], "r-2", "/new/1", "secret")
		return err == nil && response.StatusCode == http.StatusOK
	}, patience, 20*time.Millisecond)
}

// mortal is a server whose process ends when it gets a request for a deadly path: its
// port is closed, and its connections break.
func (in *installation) mortal(h http.Handler) string {
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

// A report ends each engine that gets it. Its caller gets 502 once three have ended,
// and asks another node under another id: that node has sent it nowhere, but has heard,
// and says at once that it did not run and is not to come back soon. Two engines are
// left, and serve others.
func TestGatewayRefusesQueryOfDeath(t *testing.T) {
	in := newInstallationOf(t, 2, 5, (*installation).mortal)
	response, _, err := in.ask(in.nodes[0], "r-2", "/reports/deadly", "secret")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	// Nodes tell one another at their next tick; asked at once, the other node would
	// send it.
	<-time.After(newsTime)
	response, _, err = in.ask(in.nodes[1], "r-3", "/reports/deadly", "secret")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "600", response.Header.Get("Retry-After"))
	for i := range 4 {
		response, body, err := in.ask(in.nodes[i%2], fmt.Sprintf("r-4%d", i), "/reports/1", "secret")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, wholeStream(30), body)
	}
}

// A node is stopped as planned while it passes on a report. The report ends
// whole, callers are no longer sent to the node, and its process ends.
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
		_, body, err := in.ask(in.nodes[1], "r-1", "/reports/1", "secret")
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
	}, patience, 5*time.Millisecond)
	in.nodes[1].signals <- syscall.SIGTERM
	require.Eventually(t, func() bool { return len(in.resolve(in.nodes[0])) == 1 }, patience, 20*time.Millisecond)
	got := <-done
	require.NoError(t, got.err)
	require.Equal(t, wholeStream(30), got.body)
	require.NoError(t, <-in.nodes[1].ended)
	in.nodes[1].ended <- nil
}

// The settings that the platform fills in from the template are accepted, and
// every fault of a broken file is named at once.
func TestGatewaySettings(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.ini")
	require.NoError(t, err)
	fill := strings.NewReplacer(
		"{{node_name}}", "front-boston-a-1",
		"{{zone}}", "boston-a",
		"{{region}}", "new-england",
		"{{bounds.grace_s}}", "8",
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
	require.Equal(t, uint32(800), capacity(settings.Gateway), "both the processor and the link")

	optional := regexp.MustCompile(`(?ms)^\{\{#.*?^\{\{/[^\n]*\n`)
	least := fill.Replace(optional.ReplaceAllString(string(template), ""))
	require.NoError(t, os.WriteFile(path, []byte(least), 0o600))
	settings, err = starter.Load(path)
	require.NoError(t, err, "a platform without duties is served too")
	require.False(t, settings.Gateway.CloudAddress.IsValid())
	require.Zero(t, capacity(settings.Gateway))

	broken := strings.NewReplacer("usage_window = 5s", "usage_window = soon", "10.1.0.14:8220", "nowhere").Replace(text)
	require.NoError(t, os.WriteFile(path, []byte(broken), 0o600))
	_, err = starter.Load(path)
	require.ErrorContains(t, err, "usage_window")
	require.ErrorContains(t, err, "directory_port")
}
