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
	_ error           = (*disagreementError)(nil)
)

// statusCommand prints the state of the system and the differences between the
// nodes' views of it.
type statusCommand struct {
	operatorFlags
	Agree bool `long:"agree" description:"Exit with 6 unless all nodes answer, agree and can follow the configuration"`
}

func addStatusCommand(p *flags.Parser) error {
	_, err := p.AddCommand("status", "Show nodes, zones, backend servers, leases and the configuration's revision",
		"Asks every node for its view, and shows where the views differ."+exitHelp, &statusCommand{})
	return err
}

// disagreementError reports nodes that disagree, did not respond, or can't
// follow the configuration.
type disagreementError struct {
	disagreements int
	unresponsive  int
	faulty        int
}

func (e *disagreementError) Error() string {
	return fmt.Sprintf("nodes disagree on %d subjects, %d nodes did not respond, %d can't follow the configuration",
		e.disagreements, e.unresponsive, e.faulty)
}

// statusReport is the JSON output of the command.
type statusReport struct {
	Nodes []server.Status `json:"nodes"`
	// Unresponsive holds the errors of the nodes that did not respond.
	Unresponsive  []string       `json:"silent"`
	Disagreements []disagreement `json:"disagreements"`
}

// disagreement is a subject whose state differs between the nodes' views, which
// are keyed by node.
type disagreement struct {
	Subject string                     `json:"subject"`
	Views   map[identifier.VMID]string `json:"views"`
}

// Execute prints the status. It fails if no node responds, and with --agree
// unless all nodes respond, agree and can follow the configuration.
func (c *statusCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	report := newStatusReport(c.client().statuses(ctx))
	if err := c.print(os.Stdout, report); err != nil {
		return err
	}
	if len(report.Nodes) == 0 || c.Agree && len(report.Disagreements)+len(report.Unresponsive)+report.countFaulty() > 0 {
		return &disagreementError{
			disagreements: len(report.Disagreements),
			unresponsive:  len(report.Unresponsive),
			faulty:        report.countFaulty(),
		}
	}
	return nil
}

// countFaulty returns the number of nodes that can't follow the configuration
// log.
func (r statusReport) countFaulty() int {
	count := 0
	for _, s := range r.Nodes {
		if s.Fault != "" {
			count++
		}
	}
	return count
}

func newStatusReport(answers []nodeResponse[server.Status]) statusReport {
	report := statusReport{
		Nodes:         []server.Status{},
		Unresponsive:  []string{},
		Disagreements: []disagreement{},
	}
	for _, a := range answers {
		if a.err != nil {
			report.Unresponsive = append(report.Unresponsive, a.err.Error())
			continue
		}
		report.Nodes = append(report.Nodes, a.value)
	}
	slices.SortFunc(report.Nodes, func(a, b server.Status) int { return cmp.Compare(a.Node, b.Node) })
	report.Nodes = slices.CompactFunc(report.Nodes, func(a, b server.Status) bool { return a.Node == b.Node })
	report.Disagreements = append(report.Disagreements, disagreements(report.Nodes)...)
	return report
}

// noState is printed for a subject that a node does not know, or that has no
// such column.
const noState = "-"

// subjectStates returns the state of each subject in a node's status. It omits
// values that may differ at any time, such as the load of servers.
func subjectStates(s server.Status) map[string]string {
	states := map[string]string{"configuration": fmt.Sprintf("revision %d", s.Revision)}
	for _, n := range s.Nodes {
		states["node "+string(n.VM)] = n.State
	}
	for _, v := range s.Servers {
		states[fmt.Sprintf("server %s (%s)", v.VM, v.Pool)] = v.State
	}
	for _, l := range s.Leases {
		states["lease "+l.Lease] = fmt.Sprintf("%s with fence %d", l.Holder, l.Fence)
	}
	return states
}

// disagreements returns the subjects whose state differs between nodes, sorted by
// subject.
func disagreements(nodes []server.Status) []disagreement {
	statesByNode := make(map[identifier.VMID]map[string]string)
	subjects := make(map[string]bool)
	for _, s := range nodes {
		statesByNode[s.Node] = subjectStates(s)
		for subject := range statesByNode[s.Node] {
			subjects[subject] = true
		}
	}
	var result []disagreement
	for _, subject := range slices.Sorted(maps.Keys(subjects)) {
		d := disagreement{
			Subject: subject,
			Views:   make(map[identifier.VMID]string),
		}
		distinct := make(map[string]bool)
		for node, states := range statesByNode {
			view := cmp.Or(states[subject], noState)
			d.Views[node] = view
			distinct[view] = true
		}
		if len(distinct) > 1 {
			result = append(result, d)
		}
	}
	return result
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
	for _, unresponsive := range report.Unresponsive {
		fmt.Fprintf(table, "\nno answer: %s\n", unresponsive)
	}
	for _, s := range report.Nodes {
		if s.Fault != "" {
			fmt.Fprintf(table, "\nfault at %s: %s\n", s.Node, s.Fault)
		}
	}
	printDisagreements(table, report.Disagreements)
	return errors.Join(table.Flush())
}

// printView prints the nodes, servers and leases in one node's view.
func printView(out io.Writer, s server.Status) {
	fmt.Fprintf(out, "\nAs %s sees it:\n", s.Node)
	fmt.Fprintln(out, "VM\tZONE\tPOOL\tSTATE\tRUNNING\tSLOTS\tMARKET")
	for _, n := range s.Nodes {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", n.VM, n.Zone, noState, n.State, noState, noState, noState)
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
		var views []string
		for _, node := range slices.Sorted(maps.Keys(d.Views)) {
			views = append(views, fmt.Sprintf("%s: %s", node, d.Views[node]))
		}
		fmt.Fprintf(out, "  %s\t%s\n", d.Subject, strings.Join(views, ", "))
	}
}
