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
	// operatorTime bounds one question to one node.
	operatorTime = 3 * timekeeper.Second
	// changeTime bounds the wait for the verdict on a change; the node's own
	// bound is shorter.
	changeTime = 20 * timekeeper.Second
	// maxOperatorAnswer bounds one node's answer.
	maxOperatorAnswer = 64 << 20
)

// operatorFlags are the flags of the commands for operators.
type operatorFlags struct {
	Nodes []string `long:"node" value-name:"HOST:PORT" env:"DOTTERELHOLLOW_NODES" env-delim:"," required:"true" description:"Caller address of a node; give several"`
	Key   string   `long:"operator-key" env:"DOTTERELHOLLOW_OPERATOR_KEY" required:"true" description:"Key of the operators"`
	JSON  bool     `long:"json" description:"Print JSON"`
}

// operatorClient asks nodes as an operator.
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

// problemError is a refusal of the operators' API.
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

// nodeError reports a node that did not answer.
type nodeError struct {
	node  string
	cause error
}

var _ error = (*nodeError)(nil)

func (e *nodeError) Error() string { return fmt.Sprintf("node %s: %v", e.node, e.cause) }

func (e *nodeError) Unwrap() error { return e.cause }

// question is one request of the operators' API.
type question struct {
	method string
	path   string
	body   []byte
	saw    *identifier.Revision
	limit  timekeeper.Duration
}

// ask asks one node and decodes its answer into value. Its error is a
// *problemError or a *nodeError.
func (c *operatorClient) ask(ctx context.Context, node string, q question, value any) error {
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

func (c *operatorClient) fetch(ctx context.Context, node string, q question) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, q.limit.Std())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+node+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, &nodeError{
			node:  node,
			cause: err,
		}
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	if q.saw != nil {
		r.Header.Set(server.HeaderBaseRevision, strconv.FormatUint(uint64(*q.saw), 10))
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, &nodeError{
			node:  node,
			cause: err,
		}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxOperatorAnswer))
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

// plainError reports a response that is no problem document.
type plainError struct{ status int }

var _ error = (*plainError)(nil)

func (e *plainError) Error() string { return fmt.Sprintf("status %d", e.status) }

func parseProblem(node string, status int, data []byte) error {
	problem := &problemError{}
	if err := json.Unmarshal(data, &problem.Problem); err != nil || problem.Reason == "" {
		return &nodeError{
			node:  node,
			cause: &plainError{status: status},
		}
	}
	return problem
}

// get returns a question that reads.
func get(path string, query url.Values) question {
	if encoded := query.Encode(); encoded != "" {
		path += "?" + encoded
	}
	return question{
		method: http.MethodGet,
		path:   path,
		limit:  operatorTime,
	}
}

// first asks one node after the other until one answers.
func (c *operatorClient) first(ctx context.Context, q question, value any) (string, error) {
	var failed []error
	for _, node := range c.nodes {
		err := c.ask(ctx, node, q, value)
		var problem *problemError
		if err == nil || errors.As(err, &problem) {
			return node, err
		}
		failed = append(failed, err)
	}
	return "", errors.Join(failed...)
}

// answerOf is one node's answer, or why there is none.
type answerOf[T any] struct {
	node  string
	value T
	err   error
}

// askAll asks several nodes at once and returns their answers in the order of
// the nodes.
func askAll[T any](ctx context.Context, c *operatorClient, nodes []string, q question) []answerOf[T] {
	answers := make([]answerOf[T], len(nodes))
	ended := make(chan struct{})
	for i, node := range nodes {
		go func() {
			defer func() { ended <- struct{}{} }()
			answers[i].node = node
			answers[i].err = c.ask(ctx, node, q, &answers[i].value)
		}()
	}
	for range nodes {
		<-ended
	}
	return answers
}

// statuses asks all nodes for their status: those that were given, and those
// that any of them knows.
func (c *operatorClient) statuses(ctx context.Context) []answerOf[server.Status] {
	q := get("/operator/v1/status", nil)
	answers := askAll[server.Status](ctx, c, c.nodes, q)
	more := unasked(answers)
	return append(answers, askAll[server.Status](ctx, c, more, q)...)
}

// unasked returns the addresses of nodes that the answers name and that were
// not asked yet.
func unasked(answers []answerOf[server.Status]) []string {
	asked := make(map[string]bool)
	for _, a := range answers {
		asked[a.node] = true
	}
	var more []string
	for _, a := range answers {
		for _, n := range a.value.Nodes {
			if n.Address != "" && !asked[n.Address] {
				asked[n.Address] = true
				more = append(more, n.Address)
			}
		}
	}
	slices.Sort(more)
	return more
}

// everyNode returns the addresses of all nodes that answer.
func (c *operatorClient) everyNode(ctx context.Context) (reached []string, failed []error) {
	for _, a := range c.statuses(ctx) {
		if a.err != nil {
			failed = append(failed, a.err)
			continue
		}
		reached = append(reached, a.node)
	}
	return reached, failed
}

// interruptible returns a context that SIGINT and SIGTERM end.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// warn prints errors that do not end the command.
func warn(errs []error) {
	for _, err := range errs {
		fmt.Fprintln(os.Stderr, "warning:", err)
	}
}
