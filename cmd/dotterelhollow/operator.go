package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// queryTimeout is the timeout of a query to one node.
	queryTimeout = 3 * timekeeper.Second
	// changeTimeout is the timeout of a change. It exceeds the node's own
	// timeout, so that the node's verdict arrives.
	changeTimeout = 20 * timekeeper.Second
	// maxResponseSize limits a node's response, in bytes.
	maxResponseSize = 64 << 20
)

// operatorFlags holds the flags common to the operator commands.
type operatorFlags struct {
	Nodes []string `long:"node" value-name:"HOST:PORT" env:"DOTTERELHOLLOW_NODES" env-delim:"," required:"true" description:"Caller address of a node; give several"`
	Key   string   `long:"operator-key" env:"DOTTERELHOLLOW_OPERATOR_KEY" required:"true" description:"Key of the operators"`
	JSON  bool     `long:"json" description:"Print JSON"`
}

// operatorClient is a client of the operator API.
type operatorClient struct {
	nodes []string
	key   string
	http  *http.Client
}

func (f operatorFlags) client() *operatorClient {
	return &operatorClient{
		nodes: f.Nodes,
		key:   f.Key,
		http:  &http.Client{},
	}
}

// problemError is an error response of the operator API.
type problemError struct{ server.Problem }

var _ error = (*problemError)(nil)

func (e *problemError) Error() string {
	text := fmt.Sprintf("%d %s: %s", e.Status, e.Reason, e.Detail)
	for _, fault := range e.Faults {
		text += "\n  " + fault
	}
	return text
}

func (e *problemError) exitCode() int {
	switch {
	case e.Reason == server.ReasonChangeRejected:
		return exitFaults
	case e.Outcome == messenger.Unknown:
		return exitUnknown
	}
	return exitNotRun
}

// nodeError reports a node that did not return a valid response.
type nodeError struct {
	node  string
	cause error
}

var _ error = (*nodeError)(nil)

func (e *nodeError) Error() string { return fmt.Sprintf("node %s: %v", e.node, e.cause) }

func (e *nodeError) Unwrap() error { return e.cause }

// apiRequest is a request to the operator API. baseRevision is sent if not nil.
type apiRequest struct {
	method       string
	path         string
	body         []byte
	baseRevision *identifier.Revision
	timeout      timekeeper.Duration
}

// do sends q to one node and decodes the response into value. Its error is a
// *problemError or a *nodeError.
func (c *operatorClient) do(ctx context.Context, node string, q apiRequest, value any) error {
	data, err := c.fetch(ctx, node, q)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, value); err != nil {
		return &nodeError{
			node:  node,
			cause: err,
		}
	}
	return nil
}

func (c *operatorClient) fetch(ctx context.Context, node string, q apiRequest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, q.timeout.Std())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+node+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, &nodeError{
			node:  node,
			cause: err,
		}
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	if q.baseRevision != nil {
		r.Header.Set(server.HeaderBaseRevision, strconv.FormatUint(uint64(*q.baseRevision), 10))
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, &nodeError{
			node:  node,
			cause: err,
		}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return nil, &nodeError{
			node:  node,
			cause: err,
		}
	}
	if response.StatusCode != http.StatusOK {
		return nil, parseProblem(node, response.StatusCode, data)
	}
	return data, nil
}

// unexpectedStatusError reports an error response without a problem document.
type unexpectedStatusError struct{ status int }

var _ error = (*unexpectedStatusError)(nil)

func (e *unexpectedStatusError) Error() string { return fmt.Sprintf("status %d", e.status) }

func parseProblem(node string, status int, data []byte) error {
	problem := &problemError{}
	if err := json.Unmarshal(data, &problem.Problem); err != nil || problem.Reason == "" {
		return &nodeError{
			node:  node,
			cause: &unexpectedStatusError{status: status},
		}
	}
	return problem
}

// get returns a GET request with the query timeout.
func get(path string, query url.Values) apiRequest {
	if encoded := query.Encode(); encoded != "" {
		path += "?" + encoded
	}
	return apiRequest{
		method:  http.MethodGet,
		path:    path,
		timeout: queryTimeout,
	}
}

// queryFirst queries the nodes in turn until one responds, and returns that node.
func (c *operatorClient) queryFirst(ctx context.Context, q apiRequest, value any) (string, error) {
	var failed []error
	for _, node := range c.nodes {
		err := c.do(ctx, node, q, value)
		var problem *problemError
		if err == nil || errors.As(err, &problem) {
			return node, err
		}
		failed = append(failed, err)
	}
	return "", errors.Join(failed...)
}

// nodeResponse is a node's response or error.
type nodeResponse[T any] struct {
	node  string
	value T
	err   error
}

// queryAll queries nodes concurrently and returns their responses in the order
// of nodes.
func queryAll[T any](ctx context.Context, c *operatorClient, nodes []string, q apiRequest) []nodeResponse[T] {
	answers := make([]nodeResponse[T], len(nodes))
	ended := make(chan struct{})
	for i, node := range nodes {
		go func() {
			defer func() { ended <- struct{}{} }()
			answers[i].node = node
			answers[i].err = c.do(ctx, node, q, &answers[i].value)
		}()
	}
	for range nodes {
		<-ended
	}
	return answers
}

// statuses queries the status of the given nodes, and of all nodes listed in
// their responses.
func (c *operatorClient) statuses(ctx context.Context) []nodeResponse[server.Status] {
	q := get("/operator/v1/status", nil)
	answers := queryAll[server.Status](ctx, c, c.nodes, q)
	addresses := newAddresses(answers)
	return append(answers, queryAll[server.Status](ctx, c, addresses, q)...)
}

// newAddresses returns the sorted addresses of nodes that are listed in the
// responses and have not been queried.
func newAddresses(answers []nodeResponse[server.Status]) []string {
	queried := make(map[string]bool)
	for _, a := range answers {
		queried[a.node] = true
	}
	var addresses []string
	for _, a := range answers {
		for _, n := range a.value.Nodes {
			if n.Address != "" && !queried[n.Address] {
				queried[n.Address] = true
				addresses = append(addresses, n.Address)
			}
		}
	}
	slices.Sort(addresses)
	return addresses
}

// reachableNodes returns the addresses of all nodes that respond, and the errors
// of the others.
func (c *operatorClient) reachableNodes(ctx context.Context) (reachable []string, failed []error) {
	for _, a := range c.statuses(ctx) {
		if a.err != nil {
			failed = append(failed, a.err)
			continue
		}
		reachable = append(reachable, a.node)
	}
	return reachable, failed
}

// signalContext returns a context that is canceled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// warn prints errors that do not make the command fail.
func warn(errs []error) {
	for _, err := range errs {
		fmt.Fprintln(os.Stderr, "warning:", err)
	}
}
