// Command standin-2 plays the surroundings of a small deployment for the cases of the second
// review: the platform's store and its API, model engines, and callers. A script starts it and
// the nodes, and ends them all.
//
// It writes the settings of the nodes into a folder, waits until they are ready, plays one
// scenario, and writes what was sent, answered and run into a record. It exits with 0 if the
// rule of the scenario held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/dotterelhollow/dotterelhollow/platform/standin"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// options are the flags of the command.
type options struct {
	scenario string
	dir      string
	record   string
	seed     uint64
	trouble  bool
}

// scenarios maps names to what they play. They return whether the rule held.
var scenarios = map[string]func(ctx context.Context, w *world) (held bool, err error){
	"late-answer": playLateAnswer,
	"cut-readers": playCutReaders,
}

func main() {
	var o options
	flag.StringVar(&o.scenario, "scenario", "", "name of the scenario")
	flag.StringVar(&o.dir, "dir", "", "folder for the settings of the nodes")
	flag.StringVar(&o.record, "record", "", "file for the record")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of all draws")
	flag.BoolVar(&o.trouble, "trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(run(o))
}

func run(o options) int {
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	held, err := play(ctx, o)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case held:
		return exitHeld
	}
	return exitBroken
}

func play(ctx context.Context, o options) (bool, error) {
	scenario, known := scenarios[o.scenario]
	if !known {
		return false, &NotRunError{What: "unknown scenario " + o.scenario}
	}
	rec, err := newRecord(o.record)
	if err != nil {
		return false, err
	}
	defer rec.close()
	w := &world{
		options: o,
		record:  rec,
		store:   standin.NewStore(),
		cloud:   standin.NewCloud(),
		runs:    newRuns(),
	}
	held, err := scenario(ctx, w)
	if err != nil {
		rec.line("not run: %v", err)
		return false, err
	}
	rec.line("rule held: %v", held)
	return held, nil
}

// NotRunError reports that a case could not be played.
type NotRunError struct{ What string }

var _ error = (*NotRunError)(nil)

func (e *NotRunError) Error() string { return e.What }

func (w *world) path(name string) string { return filepath.Join(w.options.dir, name) }
