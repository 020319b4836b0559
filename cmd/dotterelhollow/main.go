// Command dotterelhollow serves model answers on reclaimable VMs. The command
// serve runs a node; the others ask running nodes.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// commands add the subcommands, in the order of the help text.
var commands = []func(*flags.Parser) error{
	addServeCommand,
	addConfigCommand,
	addAskCommand,
	addStatusCommand,
	addTimelineCommand,
	addExplainCommand,
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the command that args name and returns the exit code.
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
