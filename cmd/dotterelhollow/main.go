// Command dotterelhollow serves model answers on reclaimable VMs. Its subcommand
// serve runs a node; the other subcommands query or configure running nodes.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// commands holds the functions that add the subcommands, in help text order.
var commands = []func(*flags.Parser) error{
	addServeCommand,
	addConfigCommand,
	addAskCommand,
	addStatusCommand,
	addTimelineCommand,
	addExplainCommand,
}

func main() { os.Exit(run(os.Args[1:])) }

// run parses args, executes the subcommand and returns the exit code.
func run(args []string) int {
	parser := flags.NewNamedParser("dotterelhollow", flags.HelpFlag|flags.PassDoubleDash)
	for _, add := range commands {
		if err := add(parser); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
	}
	return exitCode(err)
}
