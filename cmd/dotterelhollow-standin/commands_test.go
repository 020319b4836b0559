package main

import (
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// parse parses a command line without running the command.
func parse(t *testing.T, arguments ...string) (*options, error) {
	t.Helper()
	var o options
	parser := flags.NewParser(&o, flags.PassDoubleDash)
	parser.CommandHandler = func(flags.Commander, []string) error { return nil }
	_, err := parser.ParseArgs(arguments)
	return &o, err
}

func TestPoolFlags(t *testing.T) {
	o, err := parse(t, "pool", "--listen", "127.0.0.1:1", "--platform", "127.0.0.1:2", "--boot", "250ms",
		"--zone", "boston-a", "--zone", "boston-b", "--group", "pool=reading,count=3", "--group", "pool=portal,kind=plain")
	require.NoError(t, err)
	config := o.Pool.config()
	require.Equal(t, []identifier.Zone{"boston-a", "boston-b"}, config.Zones)
	require.Equal(t, 250*timekeeper.Millisecond, config.BootTime)
	require.Len(t, config.Groups, 2)
	require.Equal(t, 3, config.Groups[0].Count)
}

func TestBadFlags(t *testing.T) {
	for _, arguments := range [][]string{
		{"platform"},
		{"platform", "--listen", "127.0.0.1:1", "--retention", "soon"},
		{"pool", "--listen", "127.0.0.1:1", "--platform", "127.0.0.1:2", "--zone", "a", "--group", "count=3"},
		{"nobody"},
	} {
		_, err := parse(t, arguments...)
		require.Error(t, err, "%v", arguments)
	}
}
