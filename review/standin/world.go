package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dotterelhollow/dotterelhollow/platform/standin"
)

const (
	host = "api.example"
	key  = "key-of-the-tenant"

	// firstPort and lastPort bound the ports that are listened on. They are below the range
	// from which the kernel draws the ports of outgoing connections.
	firstPort = 12000
	lastPort  = 30000

	nodeWait   = 15 * time.Second
	pollTime   = 50 * time.Millisecond
	beforeLoad = 3 * time.Second
)

// zones are those of a small deployment; node i is in zone i modulo their number.
var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// setupError reports why a case could not run.
type setupError struct{ reason string }

func (e *setupError) Error() string { return e.reason }

// nodeAddresses are the ports of one node.
type nodeAddresses struct {
	name, zone, front, control, directory, readiness, metrics string
}

// world is the platform and the nodes of a case.
type world struct {
	record *record
	store  *standin.Store
	cloud  *standin.Cloud
	nodes  []nodeAddresses

	mu   sync.Mutex
	used map[int]bool
}

// newWorld starts the platform and writes the settings of the nodes into dir, with a file
// "ready" as the mark that they may be started.
func newWorld(o options, nodes int, configuration string) (*world, error) {
	rec, err := newRecord(o.record)
	if err != nil {
		return nil, err
	}
	w := &world{
		record: rec,
		store:  standin.NewStore(),
		cloud:  standin.NewCloud(),
		used:   map[int]bool{},
	}
	w.store.Put("keyed.op", "config", []byte(configuration))
	storeAddress, err := w.serve(w.store)
	if err != nil {
		return nil, err
	}
	cloudAddress, err := w.serve(w.cloud)
	if err != nil {
		return nil, err
	}
	for i := range nodes {
		w.nodes = append(w.nodes, nodeAddresses{
			name:      fmt.Sprintf("front-%d", i+1),
			zone:      zones[i%len(zones)],
			front:     w.freeAddress(),
			control:   w.freeAddress(),
			directory: w.freeAddress(),
			readiness: w.freeAddress(),
			metrics:   w.freeAddress(),
		})
	}
	for i, n := range w.nodes {
		path := filepath.Join(o.dir, fmt.Sprintf("node-%d.ini", i+1))
		if err := os.WriteFile(path, []byte(w.settings(n, storeAddress, cloudAddress)), 0o600); err != nil {
			return nil, err
		}
	}
	w.record.line("%d nodes, trouble=%t", nodes, o.trouble)
	return w, mark(o.dir, "ready")
}

// settings renders the template of the deploy file for a node, with the bounds of the site.
func (w *world) settings(n nodeAddresses, store, cloud string) string {
	var seeds []string
	for _, s := range w.nodes[:min(len(w.nodes), 3)] {
		seeds = append(seeds, s.control)
	}
	return fmt.Sprintf(`[node]
vm = %s
zone = %s
region = region-1
drain_time = 8s

[caller_port]
listen = %s

[peer_port]
listen = %s

[directory_port]
listen = %s

[readiness_port]
listen = %s

[metrics_port]
listen = %s

[platform]
address = %s

[gateway]
seeds = %s
cloud = %s
usage_window = 5s
usage_late = 10s
limit_window = 8s
log_retention = 300s
cpu = 0.4
link_mbps = 1000
memory_mb = 284
stream_moves = on
server_drain = 2000ms
`, n.name, n.zone, n.front, n.control, n.directory, n.readiness, n.metrics, store, strings.Join(seeds, ","), cloud)
}

// listen opens a free port on loopback.
func (w *world) listen() (net.Listener, error) {
	for range 100 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		w.mu.Lock()
		taken := w.used[port]
		w.used[port] = true
		w.mu.Unlock()
		if taken {
			continue
		}
		if l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port)); err == nil {
			return l, nil
		}
	}
	return nil, &setupError{reason: "no free port"}
}

// freeAddress returns an address at which a node can listen, or an empty one.
func (w *world) freeAddress() string {
	l, err := w.listen()
	if err != nil {
		return ""
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (w *world) serve(h http.Handler) (string, error) {
	l, err := w.listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: nodeWait,
	}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// awaitNodes waits until all nodes are ready, and then for the time after which traffic starts.
func (w *world) awaitNodes(ctx context.Context) error {
	deadline := time.Now().Add(nodeWait)
	for _, n := range w.nodes {
		for !isReady(ctx, n.readiness) {
			if time.Now().After(deadline) {
				return &setupError{reason: n.name + " is not ready"}
			}
			if err := pause(ctx, pollTime); err != nil {
				return err
			}
		}
	}
	w.record.line("all nodes are ready")
	return pause(ctx, beforeLoad)
}

func isReady(ctx context.Context, address string) bool {
	body, status := get(ctx, "http://"+address+"/-/ready")
	_ = body
	return status == http.StatusOK
}

func get(ctx context.Context, url string) ([]byte, int) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0
	}
	return body, response.StatusCode
}

// resolve returns the addresses that a node's directory names.
func (w *world) resolve(ctx context.Context) []string {
	n := w.nodes[rand.IntN(len(w.nodes))]
	body, status := get(ctx, "http://"+n.directory+"/-/resolve?name="+host+"&region=region-1&zone="+n.zone)
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return nil
	}
	return answer.Addresses
}

// mark writes an empty file into the folder, for the script.
func mark(dir, name string) error {
	return os.WriteFile(filepath.Join(dir, name), nil, 0o600)
}

// pause waits on a timer.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
