// Command standin plays the surroundings of a small deployment for the scripts of the review:
// the platform's store and API, engines, and clients. Each case is a subcommand. It writes the
// settings of the nodes into a folder, waits until the script has started them, plays its
// schedule on the real clock, writes a record, and judges one rule by what clients, engines and
// the platform have seen.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	// maxRun bounds a case. The limit of a script is 120 s.
	maxRun = 100 * time.Second
)

// options are the flags common to all cases.
type options struct {
	dir     string
	record  string
	trouble bool
}

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(context.Context, options) (bool, error){
	"reclaimed": runReclaimed,
	"removed":   runRemoved,
	"together":  runTogether,
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	flag.StringVar(&o.dir, "dir", "", "folder for the nodes' settings and the marks of the schedule")
	flag.StringVar(&o.record, "record", "", "file for the record")
	flag.BoolVar(&o.trouble, "trouble", true, "whether the disruption takes place")
	flag.Parse()
	play, known := cases[flag.Arg(0)]
	if !known || o.dir == "" || o.record == "" {
		fmt.Fprintln(os.Stderr, "usage: standin -dir DIR -record FILE [-trouble=false] CASE")
		return exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	broken, err := play(ctx, o)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}
