package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The headers of the protocol.
const (
	headerKey       = "Idempotency-Key"
	headerDeadline  = "Deadline-Ms"
	headerRequest   = "Request-Id"
	headerLastEvent = "Last-Event-ID"
	headerOutcome   = "Outcome"
)

// maxProblem bounds the problem document or address list that is read.
const maxProblem = 1 << 20

// Node is a node that callers may use.
type Node struct {
	Node    identifier.VMID `json:"node"`
	Zone    identifier.Zone `json:"zone"`
	Address string          `json:"address"`
}

// Client calls the system for one client account. It is safe for concurrent
// use.
type Client struct {
	config Config
	http   *http.Client

	mu    sync.Mutex
	lists map[identifier.ServiceName]addressList
}

// addressList is a node's answer to the question for addresses.
type addressList struct {
	Nodes []Node              `json:"nodes"`
	Keep  timekeeper.Duration `json:"keep_ms"`
	until timekeeper.Time
}

// New returns a client.
func New(c Config) *Client {
	c = c.withDefaults()
	return &Client{
		config: c,
		http: &http.Client{
			Transport: c.Transport,
			// Redirects are followed by the client itself: the standard
			// library would leave out the key on the way to another host.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		lists: make(map[identifier.ServiceName]addressList),
	}
}

// Addresses returns the nodes to use for a service, best first. It asks a
// node only once the list that it has has expired. With no node in reach it
// goes on with the old list, if there is one.
func (c *Client) Addresses(ctx context.Context, service identifier.ServiceName) ([]Node, error) {
	c.mu.Lock()
	kept, ok := c.lists[service]
	c.mu.Unlock()
	if ok && c.config.Clock.Now().Before(kept.until) {
		return kept.Nodes, nil
	}
	fresh, err := c.askAddresses(ctx, service, kept.Nodes)
	var refusal *RefusalError
	switch {
	case err == nil:
		c.mu.Lock()
		c.lists[service] = fresh
		c.mu.Unlock()
		return fresh.Nodes, nil
	case errors.As(err, &refusal) || !ok:
		return nil, err
	}
	return kept.Nodes, nil
}

// expire makes the next call of Addresses ask again.
func (c *Client) expire(service identifier.ServiceName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.lists[service]
	list.until = 0
	c.lists[service] = list
}

func (c *Client) askAddresses(ctx context.Context, service identifier.ServiceName, known []Node) (addressList, error) {
	var last error = &NoNodeError{Cause: nil}
	for _, node := range c.everyNode(known) {
		list, err := c.addressesFrom(ctx, node, service)
		var refusal *RefusalError
		if err == nil || errors.As(err, &refusal) && refusal.RetryAfter == 0 {
			return list, err
		}
		last = err
	}
	return addressList{}, &NoNodeError{Cause: last}
}

// everyNode returns the addresses of known nodes, then of the configured ones.
func (c *Client) everyNode(known []Node) []string {
	var all []string
	for _, n := range known {
		all = append(all, n.Address)
	}
	for _, address := range c.config.Nodes {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

func (c *Client) addressesFrom(ctx context.Context, node string, service identifier.ServiceName) (addressList, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.StreamIdleTimeout.Std())
	defer cancel()
	r, err := c.newRequest(ctx, http.MethodGet, node, "/v1/addresses?service="+url.QueryEscape(string(service)), nil)
	if err != nil {
		return addressList{}, err
	}
	response, err := c.do(r)
	if err != nil {
		return addressList{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return addressList{}, readProblem(node, response)
	}
	var list addressList
	if err := json.NewDecoder(io.LimitReader(response.Body, maxProblem)).Decode(&list); err != nil {
		return addressList{}, &ProtocolError{
			Node:   node,
			Detail: "address list",
			Cause:  err,
		}
	}
	list.until = c.config.Clock.Now().Add(list.Keep)
	return list, nil
}

func (c *Client) newRequest(ctx context.Context, method, node, path string, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, body)
	if err != nil {
		return nil, &ProtocolError{
			Node:   node,
			Detail: "address",
			Cause:  err,
		}
	}
	r.Header.Set("Authorization", "Bearer "+c.config.Key)
	return r, nil
}

// do sends r and waits for the headers of the response. Its error is a
// *brokenError. A try that never got a connection sent nothing, whatever ended
// it; any other may have reached the node.
func (c *Client) do(r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := c.http.Do(r.WithContext(ctx))
	if err == nil {
		return response, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return nil, &brokenError{
		node:  r.URL.Host,
		sent:  connected.Load(),
		cause: err,
	}
}

// readProblem returns the error that a response's problem document tells.
func readProblem(node string, response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblem))
	if err != nil {
		return &brokenError{
			node:  node,
			sent:  true,
			cause: err,
		}
	}
	return parseProblem(node, response.StatusCode, data)
}

func parseProblem(node string, status int, data []byte) error {
	problem := &RefusalError{}
	if err := json.Unmarshal(data, problem); err != nil || problem.Reason == "" {
		return &ProtocolError{
			Node:   node,
			Detail: fmt.Sprintf("status %d without a problem document", status),
			Cause:  err,
		}
	}
	return problem
}

// Cancel gives a request up.
func (c *Client) Cancel(ctx context.Context, request identifier.RequestID) error {
	var last error = &NoNodeError{Cause: nil}
	for _, node := range c.everyNode(c.knownNodes()) {
		if last = c.cancelAt(ctx, node, request); last == nil {
			return nil
		}
	}
	return last
}

func (c *Client) cancelAt(ctx context.Context, node string, request identifier.RequestID) error {
	for range maxRedirects {
		next, err := c.cancelOnce(ctx, node, request)
		if err != nil || next == "" {
			return err
		}
		node = next
	}
	return &ProtocolError{
		Node:   node,
		Detail: "too many redirects",
		Cause:  nil,
	}
}

func (c *Client) cancelOnce(ctx context.Context, node string, request identifier.RequestID) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.StreamIdleTimeout.Std())
	defer cancel()
	r, err := c.newRequest(ctx, http.MethodDelete, node, requestPath(request), nil)
	if err != nil {
		return "", err
	}
	response, err := c.do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		return "", nil
	}
	if next, ok := redirected(response); ok {
		return next, nil
	}
	return "", readProblem(node, response)
}

// knownNodes returns the nodes of all address lists.
func (c *Client) knownNodes() []Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []Node
	for _, list := range c.lists {
		for _, n := range list.Nodes {
			if !slices.Contains(nodes, n) {
				nodes = append(nodes, n)
			}
		}
	}
	return nodes
}

func requestPath(request identifier.RequestID) string {
	return "/v1/requests/" + url.PathEscape(string(request))
}

// maxRedirects bounds how often one try may be sent on.
const maxRedirects = 4

// redirected returns the node that a response sends its caller to.
func redirected(response *http.Response) (string, bool) {
	switch response.StatusCode {
	case http.StatusTemporaryRedirect, http.StatusSeeOther:
	default:
		return "", false
	}
	location, err := response.Location()
	if err != nil || location.Host == "" {
		return "", false
	}
	return location.Host, true
}
