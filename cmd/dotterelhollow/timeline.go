package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/internal/historian"
)

var _ flags.Commander = (*timelineCommand)(nil)

// timelineCommand prints the merged timelines of all nodes.
type timelineCommand struct {
	operatorFlags
	Request string `long:"request" description:"Only events of this request"`
	VM      string `long:"vm" description:"Only events about or seen by this VM"`
	Kind    string `long:"kind" description:"Only events of this kind"`
}

func addTimelineCommand(p *flags.Parser) error {
	_, err := p.AddCommand("timeline", "Show the events of all nodes in causal order",
		"Asks every node for its events and merges them. The events of a node that is gone are gone with it."+exitHelp,
		&timelineCommand{})
	return err
}

// Execute collects the events that match the flags and prints them in causal
// order.
func (c *timelineCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	query := url.Values{}
	for name, value := range map[string]string{
		"request": c.Request,
		"vm":      c.VM,
		"kind":    c.Kind,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	entries, err := c.client().entries(ctx, get("/operator/v1/timeline", query))
	if err != nil {
		return err
	}
	return c.printEntries(os.Stdout, entries)
}

// entries sends q to every node and merges the responses. It prints a warning
// for each node that does not respond, and fails if none does.
func (c *operatorClient) entries(ctx context.Context, q apiRequest) ([]historian.Entry, error) {
	nodes, failed := c.reachableNodes(ctx)
	var timelines [][]historian.Entry
	for _, a := range queryAll[[]historian.Entry](ctx, c, nodes, q) {
		if a.err != nil {
			failed = append(failed, a.err)
			continue
		}
		timelines = append(timelines, a.value)
	}
	warn(failed)
	if len(timelines) == 0 {
		return nil, &disagreementError{unresponsive: len(failed)}
	}
	return historian.Merge(timelines), nil
}

func (f operatorFlags) printEntries(out io.Writer, entries []historian.Entry) error {
	if f.JSON {
		return writeJSON(out, entries)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, e := range entries {
		subject := string(e.Request)
		if e.Attempt > 0 {
			subject += fmt.Sprintf(".%d", e.Attempt)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", e.Time, e.Stamp.VM, e.Kind, subject, e.VM, e.Detail)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("printing the timeline: %w", err)
	}
	return nil
}
