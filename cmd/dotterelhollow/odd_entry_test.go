package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/platform/standin"
)

// Guards against nodes that end, or follow the list no longer, because of odd entries among the servers.
func TestOddEntriesStopNoNode(t *testing.T) {
	in := newInstallation(t, 3)
	const entry = `{"service":"reader","address":"127.0.0.1:9","zone":"boston-a","slots":%s,"state":"ready"%s}`
	for i, value := range []string{
		fmt.Sprintf(entry, "9223372036854775807", ""),
		fmt.Sprintf(entry, "1000000000000000000", ""),
		fmt.Sprintf(entry, "64", `,"cold_remaining_ms":1e300`),
		fmt.Sprintf(entry, "64", `,"leaves_ms":-1e300`),
		fmt.Sprintf(entry, "64", `,"version":"`+strings.Repeat("v", 1<<20)+`"`),
		strings.Repeat("[", 200_000),
	} {
		in.store.Put("keyed.servers", fmt.Sprintf("odd-%d", i), []byte(value))
	}
	in.store.Put("keyed.servers", "odd-\xff", fmt.Appendf(nil, entry, "64", ""))
	for _, s := range in.engines {
		require.NoError(t, s.Publish(in.store, in.address[s.ID], "draining"))
	}
	added := &standin.Server{
		ID:            "i-added",
		Service:       "reader",
		Zone:          "boston-a",
		Events:        30,
		EventInterval: time.Millisecond,
	}
	require.NoError(t, added.Publish(in.store, in.listen(added), "ready"))
	for i, n := range in.nodes {
		require.Eventually(t, func() bool {
			_, body, err := in.send(n, fmt.Sprintf("r-%d-%d", i, time.Now().UnixNano()), "/reports/1", "secret")
			return err == nil && body == completeStream(30) && len(added.Executions()) > i
		}, 5*time.Second, 50*time.Millisecond, "node %d", i)
	}
	for _, n := range in.nodes {
		require.Empty(t, n.ended)
	}
}
