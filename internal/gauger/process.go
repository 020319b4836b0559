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

// Process is what a running process used while it was watched.
type Process struct {
	PID int `json:"pid"`
	// ResidentBytes is the memory at the end, AnonymousBytes the part of it
	// that is not the program's own file, and PeakBytes the most ever.
	ResidentBytes  float64 `json:"resident_bytes"`
	AnonymousBytes float64 `json:"anonymous_bytes"`
	PeakBytes      float64 `json:"peak_bytes"`
	// PercentOfCore is processor time, of the process and the kernel for it.
	PercentOfCore float64 `json:"percent_of_core"`
	Threads       float64 `json:"threads"`
	// LoopbackBytesPerSecond counts all bytes that were sent on the loopback
	// device of the process's network namespace, by whomever, or 0.
	LoopbackBytesPerSecond float64 `json:"loopback_bytes_per_s"`
}

// ticksPerSecond is the unit of processor time in /proc, which Linux fixes for
// programs whatever the kernel's own timer is.
const ticksPerSecond = 100

// Watcher reads processes that someone else started.
type Watcher struct {
	// Root is where the proc file system is mounted.
	Root string
}

// ProcError tells that a figure of a process could not be read.
type ProcError struct {
	Path  string
	Field string
}

func (e *ProcError) Error() string { return fmt.Sprintf("%s: no %s", e.Path, e.Field) }

var _ error = (*ProcError)(nil)

// Watch reads the processes, waits, and reads them again.
func (w Watcher) Watch(ctx context.Context, pids []int, wait time.Duration) ([]Process, error) {
	began := time.Now()
	before, err := w.usages(pids)
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
	after, err := w.usages(pids)
	if err != nil {
		return nil, err
	}
	passed := time.Since(began).Seconds()
	out := make([]Process, 0, len(pids))
	for i, pid := range pids {
		p, err := w.memory(pid)
		if err != nil {
			return nil, err
		}
		p.PercentOfCore = 100 * (after[i].processor - before[i].processor) / passed
		p.LoopbackBytesPerSecond = (after[i].loopback - before[i].loopback) / passed
		out = append(out, p)
	}
	return out, nil
}

// usage is what a process has used since its start; processor in seconds.
type usage struct {
	processor float64
	loopback  float64
}

func (w Watcher) usages(pids []int) ([]usage, error) {
	out := make([]usage, 0, len(pids))
	for _, pid := range pids {
		u, err := w.usage(pid)
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

// Fields of /proc/PID/stat after the program's name.
const (
	userTicksField   = 11
	systemTicksField = 12
)

func (w Watcher) usage(pid int) (usage, error) {
	path := w.path(pid, "stat")
	data, err := os.ReadFile(path)
	if err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	// The name stands in parentheses and may contain any character.
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
		loopback:  w.loopback(pid),
	}, nil
}

// sentField is the place of the bytes sent in a line of /proc/PID/net/dev.
const sentField = 8

func (w Watcher) loopback(pid int) float64 {
	data, err := os.ReadFile(w.path(pid, "net/dev"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		device, counts, found := strings.Cut(strings.TrimSpace(line), ":")
		fields := strings.Fields(counts)
		if !found || device != "lo" || len(fields) <= sentField {
			continue
		}
		n, _ := strconv.ParseFloat(fields[sentField], 64)
		return n
	}
	return 0
}

func (w Watcher) memory(pid int) (Process, error) {
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
