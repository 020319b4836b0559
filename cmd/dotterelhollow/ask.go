package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var (
	_ flags.Commander       = (*askCommand)(nil)
	_ flags.Unmarshaler     = (*duration)(nil)
	_ caller.Sink           = (*printer)(nil)
	_ caller.AttachObserver = (*printer)(nil)
	_ error                 = (*statusError)(nil)
)

// duration is a flag value such as "90s".
type duration timekeeper.Duration

// UnmarshalFlag parses a duration.
func (d *duration) UnmarshalFlag(text string) error {
	parsed, err := timekeeper.ParseDuration(text)
	*d = duration(parsed)
	return err
}

// askCommand sends a request to a service and prints the answer.
type askCommand struct {
	Nodes       []string                  `long:"node" value-name:"HOST:PORT" env:"DOTTERELHOLLOW_NODES" env-delim:"," required:"true" description:"Caller address of a node; give several"`
	Key         string                    `long:"key" env:"DOTTERELHOLLOW_KEY" required:"true" description:"Key of the client account"`
	Service     identifier.ServiceName    `long:"service" required:"true" description:"Service to ask"`
	Stream      bool                      `long:"stream" description:"Print the answer as it arrives (the default)"`
	Whole       bool                      `long:"whole" description:"Ask for the answer in one piece"`
	MaxTokens   identifier.Tokens         `long:"max-tokens" description:"Bound on the answer of a model service"`
	Deadline    duration                  `long:"deadline" description:"Time for the whole answer, such as 90s"`
	Idempotency identifier.IdempotencyKey `long:"idempotency-key" description:"Name of the request within the account; a fresh one without"`
	Path        string                    `long:"path" description:"Call this path of a plain service"`
	Method      string                    `long:"method" default:"POST" choice:"GET" choice:"POST" description:"Method of the call"`
	ContentType string                    `long:"content-type" default:"text/plain" description:"Type of the call's body"`
	Resume      identifier.RequestID      `long:"resume" value-name:"REQUEST" description:"Go on with the answer to this request"`
	After       caller.EventID            `long:"after" value-name:"EVENT" description:"With --resume: id of the last event that is there already, as the command told it; a bare index is not checked"`
	Cancel      identifier.RequestID      `long:"cancel" value-name:"REQUEST" description:"Give this request up"`
	Addresses   bool                      `long:"addresses" description:"Only print the nodes to use for the service"`
	JSON        bool                      `long:"json" description:"Print one JSON object"`
	Args        struct {
		Prompt []string `positional-arg-name:"PROMPT" description:"Prompt or body; standard input without"`
	} `positional-args:"true"`

	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

func addAskCommand(p *flags.Parser) error {
	_, err := p.AddCommand("ask", "Send a request and follow its answer",
		"Sends a prompt to a model service, or with --path a call to a plain service, and prints the answer."+
			" A broken stream is resumed on any node."+exitHelp,
		&askCommand{
			stdin:  os.Stdin,
			stdout: os.Stdout,
			stderr: os.Stderr,
		})
	return err
}

// Execute runs the action selected by the flags: by default it streams the
// answer to a prompt.
func (c *askCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	client := caller.New(caller.Config{
		Nodes: c.Nodes,
		Key:   c.Key,
	})
	switch {
	case c.Addresses:
		return c.addresses(ctx, client)
	case c.Cancel != "":
		return client.Cancel(ctx, c.Cancel)
	case c.Path != "":
		return c.call(ctx, client)
	case c.Whole:
		return c.complete(ctx, client)
	}
	return c.stream(ctx, client)
}

func (c *askCommand) options() caller.Options {
	return caller.Options{
		Key:      c.Idempotency,
		Deadline: timekeeper.Duration(c.Deadline),
	}
}

// input returns the prompt or body from the arguments or standard input. A GET
// call without arguments has no body.
func (c *askCommand) input() (string, error) {
	if len(c.Args.Prompt) > 0 {
		return strings.Join(c.Args.Prompt, " "), nil
	}
	if c.Path != "" && c.Method == http.MethodGet {
		return "", nil
	}
	data, err := io.ReadAll(c.stdin)
	if err != nil {
		return "", fmt.Errorf("reading standard input: %w", err)
	}
	return string(data), nil
}

func (c *askCommand) prompt() (caller.Prompt, error) {
	text, err := c.input()
	return caller.Prompt{
		Options:   c.options(),
		Service:   c.Service,
		Text:      text,
		MaxTokens: c.MaxTokens,
	}, err
}

func (c *askCommand) addresses(ctx context.Context, client *caller.Client) error {
	nodes, err := client.Addresses(ctx, c.Service)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(c.stdout, nodes)
	}
	for _, n := range nodes {
		fmt.Fprintln(c.stdout, n.Address, n.Node, n.Zone)
	}
	return nil
}

// askResult is the JSON output of the command.
type askResult struct {
	caller.Trace
	Outcome caller.Outcome `json:"outcome"`
	Status  int            `json:"status,omitempty"`
	Answer  string         `json:"answer"`
	Error   string         `json:"error,omitempty"`
}

func (c *askCommand) stream(ctx context.Context, client *caller.Client) error {
	out := &printer{
		out:      bufio.NewWriter(c.stdout),
		messages: c.stderr,
		quiet:    c.JSON,
	}
	trace, err := c.streamTo(ctx, client, out)
	return c.finish(trace, out.text.String(), 0, errors.Join(err, out.end()))
}

func (c *askCommand) streamTo(ctx context.Context, client *caller.Client, sink caller.Sink) (caller.Trace, error) {
	if c.Resume != "" {
		return client.Resume(ctx, c.Service, c.Resume, c.After, sink)
	}
	prompt, err := c.prompt()
	if err != nil {
		return caller.Trace{}, err
	}
	return client.Stream(ctx, prompt, sink)
}

func (c *askCommand) complete(ctx context.Context, client *caller.Client) error {
	prompt, err := c.prompt()
	if err != nil {
		return err
	}
	text, trace, err := client.Complete(ctx, prompt)
	if err == nil && !c.JSON {
		fmt.Fprintln(c.stdout, text)
	}
	return c.finish(trace, text, 0, err)
}

func (c *askCommand) call(ctx context.Context, client *caller.Client) error {
	body, err := c.input()
	if err != nil {
		return err
	}
	reply, trace, err := client.Call(ctx, caller.Call{
		Options:     c.options(),
		Service:     c.Service,
		Method:      c.Method,
		Path:        c.Path,
		ContentType: c.ContentType,
		Body:        []byte(body),
	})
	if err == nil && reply.Status >= http.StatusBadRequest {
		err = &statusError{status: reply.Status}
	}
	if reply.Status != 0 && !c.JSON {
		fmt.Fprintln(c.stdout, strings.TrimRight(string(reply.Body), "\n"))
	}
	return c.finish(trace, string(reply.Body), reply.Status, err)
}

// statusError reports an error status from a plain service.
type statusError struct{ status int }

func (e *statusError) Error() string {
	return fmt.Sprintf("the service answered with status %d", e.status)
}

// finish prints the summary or the JSON result and returns err, joined with any
// error from printing.
func (c *askCommand) finish(trace caller.Trace, answer string, status int, err error) error {
	if !c.JSON && trace.Request == "" {
		return err
	}
	if !c.JSON {
		fmt.Fprintf(c.stderr, "request %s: %s, %d reattached, %d restarted, nodes %s\n",
			trace.Request, progress(trace), trace.Reattached, trace.Restarted, strings.Join(trace.Nodes, " "))
		if err != nil && trace.LastEventID != "" {
			fmt.Fprintf(c.stderr, "to go on: --service %s --resume %s --after %s\n", c.Service, trace.Request, trace.LastEventID)
		}
		return err
	}
	result := askResult{
		Trace:   trace,
		Outcome: outcomeForError(err),
		Status:  status,
		Answer:  answer,
	}
	if err != nil {
		result.Error = err.Error()
	}
	return errors.Join(err, writeJSON(c.stdout, result))
}

// progress describes the number of tokens and the times of a trace. A call to a
// plain service has no tokens, and an answer that is not streamed has no time of
// its first token.
func progress(trace caller.Trace) string {
	switch {
	case trace.Tokens == 0:
		return fmt.Sprintf("ended after %s", trace.Total)
	case trace.FirstToken == 0:
		return fmt.Sprintf("%d tokens in %s", trace.Tokens, trace.Total)
	}
	return fmt.Sprintf("%d tokens in %s, first after %s", trace.Tokens, trace.Total, trace.FirstToken)
}

func outcomeForError(err error) caller.Outcome {
	switch exitCode(err) {
	case exitDone:
		return caller.OutcomeDone
	case exitNotRun:
		return caller.OutcomeNotRun
	case exitUnknown:
		return caller.OutcomeUnknown
	}
	return caller.OutcomeFailed
}

// printer collects the tokens of an answer and, unless quiet, prints each as it
// arrives.
type printer struct {
	out      *bufio.Writer
	messages io.Writer
	quiet    bool
	text     strings.Builder
}

// Token collects a token and prints it unless p is quiet.
func (p *printer) Token(t caller.Token) error {
	p.text.WriteString(t.Text)
	if p.quiet {
		return nil
	}
	if _, err := p.out.WriteString(t.Text); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return p.out.Flush()
}

// Attached prints the node that serves the request.
func (p *printer) Attached(request identifier.RequestID, node string) {
	fmt.Fprintf(p.messages, "request %s at %s\n", request, node)
}

// Restart discards the collected text and informs the reader that the answer
// starts again.
func (p *printer) Restart() error {
	p.text.Reset()
	if !p.quiet {
		fmt.Fprintln(p.messages, "\nno node knows the request any more; the answer starts again:")
	}
	return nil
}

func (p *printer) end() error {
	if p.quiet || p.text.Len() == 0 {
		return nil
	}
	fmt.Fprintln(p.out)
	return p.out.Flush()
}

// writeJSON prints one indented JSON value.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("printing JSON: %w", err)
	}
	return nil
}
