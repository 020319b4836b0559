package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/dotterelhollow/dotterelhollow/platform/standin"
)

// world is what surrounds the nodes of one scenario.
type world struct {
	options options
	record  *record
	store   *standin.Store
	cloud   *standin.Cloud
	runs    *runs
	nodes   []nodeAddress
	// paths are the nodes' paths to the store, in the order of the nodes.
	paths []*storePath
	// configuration is the operators' first record.
	configuration string
}

// nodeAddress holds the addresses of one node.
type nodeAddress struct {
	caller, readiness string
}

// configuration is the operators' record. Its services and routes are as on a small site.
const configuration = `{"version":7,"routes":[
 {"name":"r-report","host":"api.example","path_prefix":"/report/","kind":"streaming","timeout_ms":15000,
  "target_latency_ms":1000,"priority":0,"service":"reader","attempts":2,"public":false,"sticky":true,
  "resumable":true,"max_gap_ms":400}],
 "services":[{"name":"reader","health_path":"/health","connection_limit":370,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kv_tokens":600255,"kv_token_bytes":35136,"link_speed_mbps":1100000.0,"moves":true,
   "backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"agency","api_keys":["i9n73hh2b9wu3fexd9dn"],"unit":"tokens","plain_tokens":200,
  "rate_per_s":1000000,"burst":1000000}]}`

var zones = []string{"boston-a", "boston-b", "providence", "portland-me"}

// nodeSettings is deploy/settings.ini as the platform renders it for a small site.
const nodeSettings = `[node]
vm = front-%[1]d
zone = %[10]s
region = new-england
drain_time = 8s
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
cpu = 0.4
link_mbps = 1000.0
memory_mb = 284
stream_moves = on
server_drain = 2000ms
`

// startNodes writes the settings of the nodes, tells the script, and waits until all are ready.
func (w *world) startNodes(ctx context.Context, count int) error {
	cloud, err := serve(w.cloud)
	if err != nil {
		return err
	}
	w.store.Put("keyed.op", "config", []byte(w.configuration))
	for range count {
		w.paths = append(w.paths, newStorePath(w.store))
	}
	var free []string
	if free, err = freeAddresses(5 * count); err != nil {
		return err
	}
	seed := free[1]
	for i := range count {
		store, err := serve(w.paths[i])
		if err != nil {
			return err
		}
		a := free[5*i : 5*i+5]
		text := fmt.Sprintf(nodeSettings, i+1, a[0], a[1], a[2], a[3], a[4], store, seed, cloud, zones[i%len(zones)])
		if err := os.WriteFile(w.path(fmt.Sprintf("node-%d.ini", i+1)), []byte(text), 0o600); err != nil {
			return err
		}
		w.nodes = append(w.nodes, nodeAddress{
			caller:    a[0],
			readiness: a[3],
		})
	}
	if err := os.WriteFile(w.path("go"), nil, 0o600); err != nil {
		return err
	}
	for _, n := range w.nodes {
		if err := awaitReady(ctx, n.readiness); err != nil {
			return err
		}
	}
	// A machine is in touch 3 s after its start.
	return pause(ctx, 4*time.Second)
}

func awaitReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/ready", nil)
		if err != nil {
			return err
		}
		if response, err := http.DefaultClient.Do(r); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if pause(ctx, 100*time.Millisecond) != nil {
			return &NotRunError{What: "node not ready at " + address}
		}
	}
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serve serves a handler on a free loopback address until the process ends.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// Ports of nodes are below those that the kernel gives to connections and to serve.
const (
	firstPort = 20000
	lastPort  = 31999
)

// freeAddresses returns loopback addresses that were free.
func freeAddresses(count int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < count; tries++ {
		if tries > 20*count {
			return nil, &NotRunError{What: "no free ports"}
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort+1)))
		if err != nil {
			continue // The port is in use.
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}
