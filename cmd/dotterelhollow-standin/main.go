// Command dotterelhollow-standin runs the stand-ins for the platform, the
// model engines and the plain servers, for demos, tests and benchmarks.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// options holds the subcommands.
type options struct {
	Platform platformCommand `command:"platform" description:"Run the platform: log, VM list, cloud API, weight store"`
	Engine   engineCommand   `command:"engine" description:"Run one model engine"`
	Plain    plainCommand    `command:"plain" description:"Run one plain server"`
	Pool     poolCommand     `command:"pool" description:"Run many engines and plain servers as VMs of the platform"`
}

func main() {
	_, err := flags.NewParser(&options{}, flags.HelpFlag|flags.PassDoubleDash).Parse()
	if err == nil {
		return
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if usage != nil {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}
