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

// Headers of the protocol.
const (
	headerKey       = "Idempotency-Key"
	headerDeadline  = "Deadline-Ms"
	headerRequest   = "Request-Id"
	headerLastEvent = "Last-Event-ID"
	headerOutcome   = "Outcome"
)

// maxProblemSize is the maximum size in bytes of a problem document or an
// address list.
const maxProblemSize = 1 << 20

// Node identifies a node that callers may use.
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

	mu           sync.Mutex
	addressLists map[identifier.ServiceName]addressList
}

// addressList is a cached response to a request for addresses.
type addressList struct {
	Nodes     []Node              `json:"nodes"`
	MaxAge    timekeeper.Duration `json:"keep_ms"`
	expiresAt timekeeper.Time
}

// New returns a client.
func New(c Config) *Client {
	c = c.withDefaults()
	return &Client{
		config: c,
		http: &http.Client{
			Transport: c.Transport,
			// The Client follows redirects itself, since the standard library
			// omits the Authorization header for another host.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		addressLists: make(map[identifier.ServiceName]addressList),
	}
}

// Addresses returns the nodes to use for a service, in order of preference. It
// returns the cached list until that has expired, and also afterwards if no
// node is reachable.
func (c *Client) Addresses(ctx context.Context, service identifier.ServiceName) ([]Node, error) {
	c.mu.Lock()
	cached, ok := c.addressLists[service]
	c.mu.Unlock()
	if ok && c.config.Clock.Now().Before(cached.expiresAt) {
		return cached.Nodes, nil
	}
	fresh, err := c.requestAddresses(ctx, service, cached.Nodes)
	var refusal *RefusalError
	switch {
	case err == nil:
		c.mu.Lock()
		c.addressLists[service] = fresh
		c.mu.Unlock()
		return fresh.Nodes, nil
	case errors.As(err, &refusal) || !ok:
		return nil, err
	}
	return cached.Nodes, nil
}

// expire makes the next call of Addresses request a new list.
func (c *Client) expire(service identifier.ServiceName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.addressLists[service]
	list.expiresAt = 0
	c.addressLists[service] = list
}

func (c *Client) requestAddresses(ctx context.Context, service identifier.ServiceName, known []Node) (addressList, error) {
	var lastErr error = &NoNodeError{Cause: nil}
	for _, node := range c.allNodes(known) {
		list, err := c.fetchAddresses(ctx, node, service)
		var refusal *RefusalError
		if err == nil || errors.As(err, &refusal) && refusal.RetryAfter == 0 {
			return list, err
		}
		lastErr = err
	}
	return addressList{}, &NoNodeError{Cause: lastErr}
}

// allNodes returns the addresses of the known nodes, followed by those of the
// configured nodes that are not among them.
func (c *Client) allNodes(known []Node) []string {
	var addresses []string
	for _, n := range known {
		addresses = append(addresses, n.Address)
	}
	for _, address := range c.config.Nodes {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (c *Client) fetchAddresses(ctx context.Context, node string, service identifier.ServiceName) (addressList, error) {
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxProblemSize)).Decode(&list); err != nil {
		return addressList{}, &ProtocolError{
			Node:   node,
			Detail: "address list",
			Cause:  err,
		}
	}
	list.expiresAt = c.config.Clock.Now().Add(list.MaxAge)
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
// *connectionError. Once a connection was established, the request may have
// reached the node.
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
	return nil, &connectionError{
		node:  r.URL.Host,
		sent:  connected.Load(),
		cause: err,
	}
}

// readProblem returns the problem document of a response as an error.
func readProblem(node string, response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblemSize))
	if err != nil {
		return &connectionError{
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

// Cancel cancels a request.
func (c *Client) Cancel(ctx context.Context, request identifier.RequestID) error {
	var lastErr error = &NoNodeError{Cause: nil}
	for _, node := range c.allNodes(c.knownNodes()) {
		if lastErr = c.cancelAt(ctx, node, request); lastErr == nil {
			return nil
		}
	}
	return lastErr
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
	if next, ok := redirectTarget(response); ok {
		return next, nil
	}
	return "", readProblem(node, response)
}

// knownNodes returns the nodes of all address lists.
func (c *Client) knownNodes() []Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []Node
	for _, list := range c.addressLists {
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

// maxRedirects is the maximum number of successive redirects that are followed.
const maxRedirects = 4

// redirectTarget returns the node that a response redirects to.
func redirectTarget(response *http.Response) (string, bool) {
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
