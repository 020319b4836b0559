package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// apiKey is the key of the callers' tenant.
const apiKey = "i9n73hh2b9wu3fexd9dn"

// request is one request of a caller. Each is one client attempt with its own id.
type request struct {
	id     string
	prompt int
	output int
}

// caller sends requests to a node and keeps its channel open.
type caller struct {
	node   string
	client *http.Client
	record *record
}

func newCaller(node string, r *record) *caller {
	return &caller{
		node:   node,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		record: r,
	}
}

// send sends a request, and records its answer and whether its events came whole and in order.
func (c *caller) send(ctx context.Context, q request) {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.node+"/report/2f", strings.NewReader("prompt of "+q.id))
	if err != nil {
		c.record.line("caller  %s not sent: %v", q.id, err)
		return
	}
	r.Host = "api.example"
	r.Header.Set("Dotterelhollow-Request-Id", q.id)
	r.Header.Set("Dotterelhollow-Model", "m")
	r.Header.Set("Dotterelhollow-Token-Counts", fmt.Sprintf("%d,%d", q.prompt, q.output))
	r.Header.Set("Dotterelhollow-Prompt-Prefix", fmt.Sprintf("%s:%d", q.id, q.prompt))
	r.Header.Set("Dotterelhollow-Deadline-Remaining", "15000")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	c.record.line("caller  %s sent, %d tokens", q.id, q.prompt)
	response, err := c.client.Do(r)
	if err != nil {
		c.record.line("caller  %s fails: %v", q.id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	events, inOrder := 0, true
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			events++
			inOrder = inOrder && id == fmt.Sprint(events)
		}
	}
	c.record.line("caller  %s answered %d, %d of %d events, in order: %v, error: %v",
		q.id, response.StatusCode, events, q.output, inOrder, lines.Err())
}

// sendAll sends requests at a fixed rate and returns when all are answered.
func (c *caller) sendAll(ctx context.Context, all []request, every time.Duration) error {
	var open sync.WaitGroup
	defer open.Wait()
	for _, q := range all {
		open.Go(func() { c.send(ctx, q) })
		if err := pause(ctx, every); err != nil {
			return err
		}
	}
	return nil
}
