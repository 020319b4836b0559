package prover

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var (
	tableFile  = flag.String("tables", "", "write the legend and the tables to this file, as markdown")
	printTable = flag.Bool("table", false, "print the matrix, a table for each scenario")
	onlyCell   = flag.String("cell", "", "run the cells whose name contains this and print their stories")
	seedFlag   = flag.Uint64("seed", 1, "seed of the worlds")
)

const (
	workers = 6
	// maxStepsPerKind bounds the steps of one kind at one node that are tested.
	maxStepsPerKind = 2
)

// runScenario runs and verifies a scenario with the planned faults.
func runScenario(s scenario, plannedFaults []cell, seed uint64, safeguards conductor.Safeguards) *cluster {
	cl := newCluster(seed, safeguards, s)
	cl.plannedFaults = plannedFaults
	start := cl.now.Add(bootTime)
	cl.run(start, never)
	cl.stepsFrom = start
	s.start(cl)
	end := start.Add(max(s.minDuration, minRunTime))
	cl.run(start.Add(max(maxRunTime, s.minDuration+timekeeper.Second)), func() bool { return cl.now.After(end) && cl.callersDone() })
	cl.verify()
	if s.check != nil && cl.anyNodeAlive() {
		s.check(cl)
	}
	return cl
}

func (cl *cluster) callersDone() bool {
	for _, c := range cl.callers {
		if !c.done {
			return false
		}
	}
	return true
}

// stepsOf returns the steps of a scenario and the cluster of the run without
// faults in which they were recorded.
func stepsOf(s scenario, seed uint64) ([]step, *cluster) {
	cl := runScenario(s, nil, seed, conductor.AllSafeguards())
	var out []step
	for _, st := range cl.steps {
		if st.count <= maxStepsPerKind && s.isStep(st) {
			out = append(out, st)
		}
	}
	return out, cl
}

type outcome struct {
	cells          []cell
	scenario       scenario
	violations     []string
	runLog         []string
	maxWorkDelay   timekeeper.Duration
	faultsInjected int
	skipped        bool
}

func (o outcome) name() string {
	name := o.scenario.name
	for _, c := range o.cells {
		name += fmt.Sprintf(" / %s / %s", c.step, c.fault.name)
	}
	return name
}

// runCells runs a scenario once for each combination of a step and a fault.
func runCells(s scenario, steps []step, faults []fault, seed uint64, safeguards conductor.Safeguards) []outcome {
	var runs [][]cell
	for _, st := range steps {
		for _, f := range faults {
			runs = append(runs, []cell{{
				step:  st,
				fault: f,
			}})
		}
	}
	return runAll(s, runs, seed, safeguards)
}

// runAll runs a scenario once for each element of runs, injecting all its cells.
func runAll(s scenario, runs [][]cell, seed uint64, safeguards conductor.Safeguards) []outcome {
	out := make([]outcome, len(runs))
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for i := worker; i < len(runs); i += workers {
				if i%cellStride != 0 && len(runs) > len(faults) {
					out[i] = outcome{
						cells:    runs[i],
						scenario: s,
						skipped:  true,
					}
					continue
				}
				out[i] = runCell(s, runs[i], seed, safeguards)
			}
		})
	}
	wg.Wait()
	return out
}

func runCell(s scenario, cells []cell, seed uint64, safeguards conductor.Safeguards) outcome {
	cl := runScenario(s, cells, seed, safeguards)
	return outcome{
		cells:          cells,
		scenario:       s,
		violations:     cl.observed.violations,
		runLog:         cl.runLog,
		maxWorkDelay:   cl.observed.maxWorkDelay,
		faultsInjected: cl.faultsInjected,
	}
}

// TestMatrix injects every fault at every step of every scenario.
func TestMatrix(t *testing.T) {
	var worst timekeeper.Duration
	var tables strings.Builder
	total := 0
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			steps, base := stepsOf(s, *seedFlag)
			require.Empty(t, base.observed.violations, "without any fault\n%s", strings.Join(base.runLog, "\n"))
			require.NotEmpty(t, steps)
			outcomes := runCells(s, steps, faults, *seedFlag, conductor.AllSafeguards())
			report(t, s, steps, outcomes)
			tables.WriteString("\n" + table(s, steps, outcomes))
			for _, o := range outcomes {
				worst = max(worst, o.maxWorkDelay)
				if !o.skipped {
					total++
				}
				require.True(t, o.skipped || o.faultsInjected > 0, "%s: the fault never struck", o.name())
			}
		})
	}
	if *tableFile != "" {
		require.NoError(t, os.WriteFile(*tableFile, []byte(legend()+tables.String()), 0o600))
	}
	t.Logf("seed %d: %d cells; new work reached a leaving server at most %s after its notice", *seedFlag, total, worst)
}

func report(t *testing.T, s scenario, steps []step, outcomes []outcome) {
	t.Helper()
	if *printTable {
		t.Log("\n" + table(s, steps, outcomes))
	}
	for _, o := range outcomes {
		if *onlyCell != "" && strings.Contains(o.name(), *onlyCell) {
			t.Logf("%s\n%s\n=> %v", o.name(), strings.Join(o.runLog, "\n"), o.violations)
		}
		if len(o.violations) > 0 {
			t.Errorf("%s: %s", o.name(), strings.Join(o.violations, "; "))
		}
	}
}

// table formats the outcomes by step and fault: a dot is a success, an X a
// violation, and a blank was not run.
func table(s scenario, steps []step, outcomes []outcome) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n```\n%-28s", s.name, "")
	for i := range faults {
		fmt.Fprintf(&b, "%3d", i+1)
	}
	for i, st := range steps {
		fmt.Fprintf(&b, "\n%-28s", st)
		for j := range faults {
			mark := "."
			switch o := outcomes[i*len(faults)+j]; {
			case o.skipped:
				mark = ""
			case len(o.violations) > 0:
				mark = "X"
			}
			fmt.Fprintf(&b, "%3s", mark)
		}
	}
	return b.String() + "\n```\n"
}

// legend lists the faults with the column numbers of the tables.
func legend() string {
	var b strings.Builder
	for i, f := range faults {
		fmt.Fprintf(&b, "%d. %s\n", i+1, f.name)
	}
	return b.String()
}
