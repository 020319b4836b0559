package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// result is what a client got for one request.
type result struct {
	id       string
	sent     time.Time
	ended    time.Time
	status   int
	body     string
	complete bool
}

// clients send requests and keep their results. They keep channels open, pick one of the
// addresses that the directory names for each request, and read answers to their end.
type clients struct {
	world *world
	http  *http.Client

	mu      sync.Mutex
	results []result
	waiting sync.WaitGroup
}

func newClients(w *world) *clients {
	return &clients{
		world: w,
		http:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
}

// load sends a request each interval until ctx ends.
func (c *clients) load(ctx context.Context, interval time.Duration, method, path string, budget time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var addresses []string
	for n := 1; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if n%10 == 1 {
			if found := c.world.resolve(ctx); len(found) > 0 {
				addresses = found
			}
		}
		if len(addresses) == 0 {
			continue
		}
		address := addresses[rand.IntN(len(addresses))]
		c.waiting.Add(1)
		go func() {
			defer c.waiting.Done()
			c.send(address, method, fmt.Sprintf("%s%05d", strings.Trim(path, "/"), n), path, budget)
		}()
	}
}

// send sends one request and keeps its result.
func (c *clients) send(address, method, id, path string, budget time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	r := result{
		id:   id,
		sent: time.Now(),
	}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("prompt of " + id)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path+id, body)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set(requestIDHeader, id)
	request.Header.Set("Dotterelhollow-Deadline-Remaining", fmt.Sprint(budget.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	if method == http.MethodPost {
		request.Header.Set("Dotterelhollow-Model", "m")
		request.Header.Set("Dotterelhollow-Token-Counts", "600,300")
	}
	c.world.record.line("client sends %s to %s", id, address)
	response, err := c.http.Do(request)
	if err == nil {
		r.status = response.StatusCode
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		r.body = string(body)
		r.complete = err == nil
	}
	r.ended = time.Now()
	c.world.record.line("client got %s: status %d, %d bytes, complete=%t", id, r.status, len(r.body), r.complete)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// all waits for the answers to all requests and returns them.
func (c *clients) all() []result {
	c.waiting.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.results...)
}
