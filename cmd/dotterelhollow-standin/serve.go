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

// listen is the flag that every subcommand has.
type listen struct {
	Listen string `long:"listen" value-name:"HOST:PORT" required:"true" description:"Address to listen on"`
}

// serve runs a stand-in until SIGTERM or SIGINT, which end it at once.
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

// untilSignal returns a context that ends with the process's end.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// span is a flag that holds a duration.
type span timekeeper.Duration

// UnmarshalFlag reads a span such as "250ms".
func (s *span) UnmarshalFlag(text string) error {
	d, err := timekeeper.ParseDuration(text)
	*s = span(d)
	return err
}
