package gauger

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// WriteTable prints readings as a text table.
func WriteTable(w io.Writer, readings []Reading) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "gauge\tof\tnodes\tservers\tpools\tat\tvalue\tunit")
	for _, r := range readings {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n",
			r.Gauge, r.Subject, r.Size.Nodes, r.Size.Servers, r.Size.Pools, formatParameter(r.Parameter), formatValue(r.Value), r.Unit)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print the readings: %w", err)
	}
	return nil
}

// WriteProcesses prints processes as a text table.
func WriteProcesses(w io.Writer, processes []Process) error {
	const mega = 1 << 20
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "pid\tresident MiB\tanonymous MiB\tpeak MiB\tpercent of a core\tthreads\tloopback bytes/s")
	for _, p := range processes {
		fmt.Fprintf(t, "%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\n", p.PID, p.ResidentBytes/mega, p.AnonymousBytes/mega,
			p.PeakBytes/mega, p.PercentOfCore, p.Threads, p.LoopbackBytesPerSecond)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print the processes: %w", err)
	}
	return nil
}

// WriteJSON prints v as one line of JSON.
func WriteJSON(w io.Writer, v any) error {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return fmt.Errorf("print as JSON: %w", err)
	}
	return nil
}

func formatParameter(n int) string {
	if n == 0 {
		return "-"
	}
	return strconv.Itoa(n)
}

// formatValue formats a value with about three significant digits, and with all
// digits before the point.
func formatValue(v float64) string {
	const wholeFrom = 100
	if v >= wholeFrom {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
