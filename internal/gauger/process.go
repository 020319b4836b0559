package gauger

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Process holds the resources that a process used during a measurement.
type Process struct {
	PID int `json:"pid"`
	// ResidentBytes is the resident memory at the end, AnonymousBytes its
	// anonymous part, and PeakBytes the maximum since the process started.
	ResidentBytes  float64 `json:"resident_bytes"`
	AnonymousBytes float64 `json:"anonymous_bytes"`
	PeakBytes      float64 `json:"peak_bytes"`
	// PercentOfCore is the user and system processor time.
	PercentOfCore float64 `json:"percent_of_core"`
	Threads       float64 `json:"threads"`
	// LoopbackBytesPerSecond counts the bytes sent on the loopback device of
	// the process's network namespace by all its processes. It is 0 if unknown.
	LoopbackBytesPerSecond float64 `json:"loopback_bytes_per_s"`
}

// ticksPerSecond is Linux's USER_HZ, the unit of processor time in /proc. It
// does not depend on the kernel's timer frequency.
const ticksPerSecond = 100

// Watcher measures running processes through the proc file system.
type Watcher struct {
	// Root is the mount point of the proc file system.
	Root string
}

// ProcError reports a field missing in a file of the proc file system.
type ProcError struct {
	Path  string
	Field string
}

func (e *ProcError) Error() string { return fmt.Sprintf("%s: no %s", e.Path, e.Field) }

var _ error = (*ProcError)(nil)

// Watch measures the processes over the time wait, in the order of pids.
func (w Watcher) Watch(ctx context.Context, pids []int, wait time.Duration) ([]Process, error) {
	start := time.Now()
	before, err := w.readUsages(pids)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, fmt.Errorf("watching processes: %w", ctx.Err())
	}
	after, err := w.readUsages(pids)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start).Seconds()
	out := make([]Process, 0, len(pids))
	for i, pid := range pids {
		p, err := w.readMemory(pid)
		if err != nil {
			return nil, err
		}
		p.PercentOfCore = 100 * (after[i].processor - before[i].processor) / elapsed
		p.LoopbackBytesPerSecond = (after[i].loopback - before[i].loopback) / elapsed
		out = append(out, p)
	}
	return out, nil
}

// usage holds a process's processor seconds and the bytes sent on its loopback
// device, both as running totals.
type usage struct {
	processor float64
	loopback  float64
}

func (w Watcher) readUsages(pids []int) ([]usage, error) {
	out := make([]usage, 0, len(pids))
	for _, pid := range pids {
		u, err := w.readUsage(pid)
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}

func (w Watcher) path(pid int, name string) string {
	return filepath.Join(w.Root, strconv.Itoa(pid), name)
}

// Indexes of fields of /proc/PID/stat after the program's name.
const (
	userTicksField   = 11
	systemTicksField = 12
)

func (w Watcher) readUsage(pid int) (usage, error) {
	path := w.path(pid, "stat")
	data, err := os.ReadFile(path)
	if err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	// The name is enclosed in parentheses and may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTicksField {
		return usage{}, &ProcError{
			Path:  path,
			Field: "processor time",
		}
	}
	ticks := 0.0
	for _, i := range []int{userTicksField, systemTicksField} {
		n, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return usage{}, fmt.Errorf("read %s: %w", path, err)
		}
		ticks += n
	}
	return usage{
		processor: ticks / ticksPerSecond,
		loopback:  w.readLoopback(pid),
	}, nil
}

// sentBytesField is the index of the bytes sent in a line of /proc/PID/net/dev.
const sentBytesField = 8

func (w Watcher) readLoopback(pid int) float64 {
	data, err := os.ReadFile(w.path(pid, "net/dev"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		device, counts, found := strings.Cut(strings.TrimSpace(line), ":")
		fields := strings.Fields(counts)
		if !found || device != "lo" || len(fields) <= sentBytesField {
			continue
		}
		n, _ := strconv.ParseFloat(fields[sentBytesField], 64)
		return n
	}
	return 0
}

func (w Watcher) readMemory(pid int) (Process, error) {
	path := w.path(pid, "status")
	data, err := os.ReadFile(path)
	if err != nil {
		return Process{}, fmt.Errorf("read memory: %w", err)
	}
	p := Process{PID: pid}
	wanted := map[string]*float64{
		"VmRSS":   &p.ResidentBytes,
		"RssAnon": &p.AnonymousBytes,
		"VmHWM":   &p.PeakBytes,
		"Threads": &p.Threads,
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		field, known := wanted[name]
		if !known {
			continue
		}
		number, unit, _ := strings.Cut(strings.TrimSpace(value), " ")
		n, err := strconv.ParseFloat(number, 64)
		if err != nil {
			return Process{}, fmt.Errorf("read %s of %s: %w", name, path, err)
		}
		if unit == "kB" {
			n *= 1024
		}
		*field = n
		delete(wanted, name)
	}
	if len(wanted) > 0 {
		return Process{}, &ProcError{
			Path:  path,
			Field: "memory",
		}
	}
	return p, nil
}
