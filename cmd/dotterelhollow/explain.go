package main

import (
	"net/url"

	"github.com/jessevdk/go-flags"
)

var _ flags.Commander = (*explainCommand)(nil)

// explainCommand shows why a request went the way it went.
type explainCommand struct {
	operatorFlags
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"true" description:"Id of the request"`
	} `positional-args:"true"`
}

// addExplainCommand adds the command to p.
func addExplainCommand(p *flags.Parser) error {
	_, err := p.AddCommand("explain", "Show why a request was routed, retried, moved or refused",
		"Asks every node for the decisions on a request, and prints them in causal order with their reasons."+exitHelp,
		&explainCommand{})
	return err
}

// Execute explains.
func (c *explainCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	return c.showEntries(ctx, get("/operator/v1/explain/"+url.PathEscape(c.Args.Request), nil))
}
