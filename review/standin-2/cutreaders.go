package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// cutNodes of cutOf machines are cut off at once: a share of 0.33, of 0.35 that may be.
	cutNodes = 4
	cutOf    = 12
	// cutTime is the time for which they are.
	cutTime = 5500 * time.Millisecond
	// propagationTime is the time from the store's acknowledgement of a version to its being in
	// force, and probeTime that after it in which requests test it.
	propagationTime = 2000 * time.Millisecond
	probeTime       = 2500 * time.Millisecond
	probeInterval   = 100 * time.Millisecond
	rounds          = 5
	roundPause      = 7 * time.Second
)

// playCutReaders cuts the machines that read the configuration for the others from the store, and
// then moves a route to another service. The machines that are not cut off have to follow within
// propagationTime.
func playCutReaders(ctx context.Context, w *world) (bool, error) {
	for id, service := range map[string]string{"i-7f3a91d1": "desk-a", "i-7f3a91d2": "desk-b"} {
		if err := startPlain(w, id, service); err != nil {
			return false, err
		}
	}
	w.configuration = plainConfiguration(7, "desk-a")
	if err := w.startNodes(ctx, cutOf); err != nil {
		return false, err
	}
	held := true
	services := []string{"desk-a", "desk-b"}
	for round := range rounds {
		readers := w.configurationReaders()
		if w.options.trouble {
			if len(readers) > cutNodes {
				readers = readers[:cutNodes]
			}
			for _, i := range readers {
				w.paths[i].cut()
			}
			w.record.line("round %d: machines %v are cut from the store", round+1, names(readers))
		} else {
			readers = nil
		}
		if err := pause(ctx, 200*time.Millisecond); err != nil {
			return false, err
		}
		newService, oldService := services[(round+1)%2], services[round%2]
		w.store.Put("keyed.op", "config", []byte(plainConfiguration(8+3*round, newService)))
		acknowledged := time.Now()
		w.record.line("round %d: version %d acknowledged, the route goes from %s to %s", round+1, 8+3*round, oldService, newService)
		if err := pause(ctx, propagationTime); err != nil {
			return false, err
		}
		stale, err := w.probe(ctx, round, readers, oldService)
		if err != nil {
			return false, err
		}
		held = held && stale == 0
		w.record.line("round %d: %d requests were run by the old service", round+1, stale)
		if err := pause(ctx, time.Until(acknowledged.Add(cutTime-200*time.Millisecond))); err != nil {
			return false, err
		}
		for _, i := range readers {
			w.paths[i].heal()
		}
		w.record.line("round %d: cut healed", round+1)
		if err := pause(ctx, roundPause); err != nil {
			return false, err
		}
	}
	return held, nil
}

// configurationReaders returns the machines that lately waited for configurations at the store.
func (w *world) configurationReaders() []int {
	var out []int
	for i, p := range w.paths {
		if p.readsConfiguration() {
			out = append(out, i)
		}
	}
	return out
}

// probe sends requests to the machines that are not cut off, and returns how many of them were run
// by the old service.
func (w *world) probe(ctx context.Context, round int, cut []int, oldService string) (int, error) {
	isCut := map[int]bool{}
	for _, i := range cut {
		isCut[i] = true
	}
	stale := 0
	began := time.Now()
	for n := 0; time.Since(began) < probeTime; n++ {
		for i, node := range w.nodes {
			if isCut[i] {
				continue
			}
			id := fmt.Sprintf("%x%x%014x", round+1, i, n)
			status, body, err := get(ctx, node.caller, id)
			if err != nil {
				return 0, err
			}
			if body == oldService {
				stale++
				w.record.line("BROKEN  %s sent to front-%d %d ms after the acknowledgement: %d, run by %s; %d calls reached the store from there",
					id, i+1, (propagationTime + time.Since(began)).Milliseconds(), status, body, w.paths[i].countCalls())
			}
		}
		if err := pause(ctx, probeInterval); err != nil {
			return 0, err
		}
	}
	return stale, nil
}

// get sends a safe request on the route.
func get(ctx context.Context, node, id string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/desk/2f", nil)
	if err != nil {
		return 0, "", err
	}
	r.Host = "api.example"
	r.Header.Set("Dotterelhollow-Request-Id", id)
	r.Header.Set("Dotterelhollow-Deadline-Remaining", "1000")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

func names(nodes []int) []string {
	var out []string
	for _, i := range nodes {
		out = append(out, fmt.Sprintf("front-%d", i+1))
	}
	return out
}

// plainConfiguration returns an operators' record whose one route goes to a service.
func plainConfiguration(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"r-desk","host":"api.example","path_prefix":"/desk/","kind":"safe","timeout_ms":1000,
  "target_latency_ms":100,"priority":2,"service":%q,"attempts":2,"public":false}],
 "services":[{"name":"desk-a","health_path":"/health","connection_limit":110,"protocol":"h1","tls":false},
  {"name":"desk-b","health_path":"/health","connection_limit":110,"protocol":"h1","tls":false}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"agency","api_keys":[%q],"unit":"tokens","plain_tokens":200,
  "rate_per_s":1000000,"burst":1000000}]}`, version, service, apiKey)
}
