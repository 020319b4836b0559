package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// listen holds the flag common to all subcommands.
type listen struct {
	Listen string `long:"listen" value-name:"HOST:PORT" required:"true" description:"Address to listen on"`
}

// serve runs a stand-in until ctx ends, then closes it without draining.
func (l listen) serve(ctx context.Context, name string, s standin.Service, gate *standin.Gate) error {
	server, err := standin.Listen(ctx, l.Listen, s, gate)
	if err != nil {
		return err
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       name,
		JSONFormat: true,
		Output:     os.Stderr,
	})
	logger.Info("listening", "address", server.Address())
	<-ctx.Done()
	server.Close()
	return nil
}

// signalContext returns a context that is canceled by SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// duration is a flag value such as "250ms".
type duration timekeeper.Duration

// UnmarshalFlag parses a duration.
func (s *duration) UnmarshalFlag(text string) error {
	d, err := timekeeper.ParseDuration(text)
	*s = duration(d)
	return err
}
