package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

var (
	_ flags.Commander = (*statusCommand)(nil)
	_ error           = (*disagreeError)(nil)
)

// statusCommand shows the system as each node sees it.
type statusCommand struct {
	operatorFlags
	Agree bool `long:"agree" description:"Exit with 6 unless all nodes answer, agree and can follow the configuration"`
}

// addStatusCommand adds the command to p.
func addStatusCommand(p *flags.Parser) error {
	_, err := p.AddCommand("status", "Show nodes, zones, backend servers, leases and the configuration's revision",
		"Asks every node for its view, and shows where the views differ."+exitHelp, &statusCommand{})
	return err
}

// disagreeError reports nodes that disagree or did not answer.
type disagreeError struct {
	disagreements int
	silent        int
	faults        int
}

func (e *disagreeError) Error() string {
	return fmt.Sprintf("nodes disagree on %d things, %d nodes did not answer, %d can't follow the configuration",
		e.disagreements, e.silent, e.faults)
}

// statusReport is the answer of the command as JSON.
type statusReport struct {
	Nodes []server.Status `json:"nodes"`
	// Silent are the nodes that did not answer.
	Silent        []string       `json:"silent"`
	Disagreements []disagreement `json:"disagreements"`
}

// disagreement is a subject that nodes see differently.
type disagreement struct {
	Subject string                     `json:"subject"`
	Views   map[identifier.VMID]string `json:"views"`
}

// Execute shows the status.
func (c *statusCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	report := newStatusReport(c.client().statuses(ctx))
	if err := c.print(os.Stdout, report); err != nil {
		return err
	}
	if len(report.Nodes) == 0 || c.Agree && len(report.Disagreements)+len(report.Silent)+report.faults() > 0 {
		return &disagreeError{
			disagreements: len(report.Disagreements),
			silent:        len(report.Silent),
			faults:        report.faults(),
		}
	}
	return nil
}

// faults returns how many nodes can't follow the configuration in the log.
func (r statusReport) faults() int {
	count := 0
	for _, s := range r.Nodes {
		if s.Fault != "" {
			count++
		}
	}
	return count
}

func newStatusReport(answers []answerOf[server.Status]) statusReport {
	report := statusReport{
		Nodes:         []server.Status{},
		Silent:        []string{},
		Disagreements: []disagreement{},
	}
	for _, a := range answers {
		if a.err != nil {
			report.Silent = append(report.Silent, a.err.Error())
			continue
		}
		report.Nodes = append(report.Nodes, a.value)
	}
	slices.SortFunc(report.Nodes, func(a, b server.Status) int { return cmp.Compare(a.Node, b.Node) })
	report.Nodes = slices.CompactFunc(report.Nodes, func(a, b server.Status) bool { return a.Node == b.Node })
	report.Disagreements = append(report.Disagreements, disagreements(report.Nodes)...)
	return report
}

// absent is the view of a node that does not know a subject.
const absent = "-"

// views returns what a node says of each subject. It leaves out what differs
// between nodes at any time, such as the load of servers.
func views(s server.Status) map[string]string {
	said := map[string]string{"configuration": fmt.Sprintf("revision %d", s.Revision)}
	for _, n := range s.Nodes {
		said["node "+string(n.VM)] = n.State
	}
	for _, v := range s.Servers {
		said[fmt.Sprintf("server %s (%s)", v.VM, v.Pool)] = v.State
	}
	for _, l := range s.Leases {
		said["lease "+l.Lease] = fmt.Sprintf("%s with fence %d", l.Holder, l.Fence)
	}
	return said
}

// disagreements returns the subjects that nodes see differently.
func disagreements(nodes []server.Status) []disagreement {
	said := make(map[identifier.VMID]map[string]string)
	subjects := make(map[string]bool)
	for _, s := range nodes {
		said[s.Node] = views(s)
		for subject := range said[s.Node] {
			subjects[subject] = true
		}
	}
	var found []disagreement
	for _, subject := range slices.Sorted(maps.Keys(subjects)) {
		d := disagreement{
			Subject: subject,
			Views:   make(map[identifier.VMID]string),
		}
		distinct := make(map[string]bool)
		for node, all := range said {
			view := cmp.Or(all[subject], absent)
			d.Views[node] = view
			distinct[view] = true
		}
		if len(distinct) > 1 {
			found = append(found, d)
		}
	}
	return found
}

func (c *statusCommand) print(out io.Writer, report statusReport) error {
	if c.JSON {
		return writeJSON(out, report)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tZONE\tREVISION\tIN FLIGHT\tCOPIES\tNODES\tSERVERS\tDRAINING")
	for _, s := range report.Nodes {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%t\n", s.Node, s.Zone, s.Revision,
			s.Requests.InFlight, s.Requests.Copies, len(s.Nodes), len(s.Servers), s.Draining)
	}
	if len(report.Nodes) > 0 {
		printView(table, report.Nodes[0])
	}
	for _, silent := range report.Silent {
		fmt.Fprintf(table, "\nno answer: %s\n", silent)
	}
	for _, s := range report.Nodes {
		if s.Fault != "" {
			fmt.Fprintf(table, "\nfault at %s: %s\n", s.Node, s.Fault)
		}
	}
	printDisagreements(table, report.Disagreements)
	return errors.Join(table.Flush())
}

// printView prints the nodes, servers and leases as one node sees them.
func printView(out io.Writer, s server.Status) {
	fmt.Fprintf(out, "\nAs %s sees it:\n", s.Node)
	fmt.Fprintln(out, "VM\tZONE\tPOOL\tSTATE\tRUNNING\tSLOTS\tMARKET")
	for _, n := range s.Nodes {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", n.VM, n.Zone, absent, n.State, absent, absent, absent)
	}
	for _, v := range s.Servers {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", v.VM, v.Zone, v.Pool, v.State, v.Running, v.Slots, v.Market)
	}
	for _, l := range s.Leases {
		fmt.Fprintf(out, "lease %s\t\t\t%s\tfence %d\n", l.Lease, l.Holder, l.Fence)
	}
}

func printDisagreements(out io.Writer, all []disagreement) {
	if len(all) == 0 {
		fmt.Fprintln(out, "\nAll nodes that answered agree.")
		return
	}
	fmt.Fprintln(out, "\nNodes disagree:")
	for _, d := range all {
		var seen []string
		for _, node := range slices.Sorted(maps.Keys(d.Views)) {
			seen = append(seen, fmt.Sprintf("%s: %s", node, d.Views[node]))
		}
		fmt.Fprintf(out, "  %s\t%s\n", d.Subject, strings.Join(seen, ", "))
	}
}
