package main

import (
	"fmt"
	"net/url"
	"os"

	"github.com/jessevdk/go-flags"
)

var (
	_ flags.Commander = (*explainCommand)(nil)
	_ error           = (*noEventsError)(nil)
)

// explainCommand prints the decisions on a request and their reasons.
type explainCommand struct {
	operatorFlags
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"true" description:"Id of the request"`
	} `positional-args:"true"`
}

func addExplainCommand(p *flags.Parser) error {
	_, err := p.AddCommand("explain", "Show why a request was routed, retried, moved or refused",
		"Asks every node for the decisions on a request, and prints them in causal order with their reasons."+exitHelp,
		&explainCommand{})
	return err
}

// Execute collects the decisions from all nodes and prints them in causal order.
func (c *explainCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	entries, err := c.client().entries(ctx, get("/operator/v1/explain/"+url.PathEscape(c.Args.Request), nil))
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return &noEventsError{request: c.Args.Request}
	}
	return c.printEntries(os.Stdout, entries)
}

// noEventsError reports that no responding node has an event of a request.
// Without it a mistyped id would look like an uneventful request.
type noEventsError struct{ request string }

func (e *noEventsError) Error() string {
	return fmt.Sprintf("no node that answered has an event of request %q", e.request)
}
