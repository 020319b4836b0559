package rehearser

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	shortRetention = 12 * time.Second
	// maxInForceTime limits the time until an accepted change is in force on all nodes.
	maxInForceTime = 10 * time.Second

	changedFile identifier.FileName = "60-targets.ini"
)

// shortLog returns a configuration file with the short retention. Keys must be
// remembered for at most half of it.
func shortLog() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[log]\nretention = %s\n", shortRetention)
	for _, service := range []string{
		"manuscript_report", "query_summary", "genre_tag", "portal_lookup", "status_ping", "rejection_email",
	} {
		fmt.Fprintf(&text, "[service %s]\nkey_window = 5s\n", service)
	}
	// A key that may run once is remembered for at least two deadlines, and a target
	// must not exceed the deadline.
	text.WriteString("deadline = 2500ms\n") // of rejection_email, the last service above
	for _, account := range []string{"portal", "dashboard"} {
		fmt.Fprintf(&text, "[target %s rejection_email]\ncompletion = 2s\n", account)
	}
	return text.String()
}

// Guards against two concurrent changes that are both accepted, and against nodes that start with
// another configuration after the log dropped the records or during a log outage.
func TestTwoOperatorsChangeOneFile(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{
		retention: shortRetention.String(),
		overrides: map[string]string{"95-short-log.ini": shortLog()},
	})
	before, ok := c.nodes[0].file(changedFile)
	require.True(t, ok)
	won := c.raceChanges(t, before)
	decided := time.Now()
	c.requireInForce(t, c.nodes, won)
	t.Logf("revision %d in force on all nodes after %s", won.Revision, time.Since(decided).Round(time.Millisecond))

	require.Eventually(t, func() bool { return c.configAppendedSince(t, decided) }, 4*shortRetention, pollInterval, "the change expires")
	// A node that starts from here on gets the configuration from a snapshot or from peers.
	late := c.startNode(t, "entry-7", "providence")
	c.requireInForce(t, []*node{late}, won)
	c.requireInForce(t, c.nodes, won)

	c.setFaults(t, map[string]any{"log_outage": true})
	later := c.startNode(t, "entry-8", "portland-me")
	c.requireInForce(t, []*node{later}, won)
	c.requireInForce(t, c.nodes, won)
	c.setFaults(t, map[string]any{"log_outage": false})
}

type changeAnswer struct {
	content string
	status  int
	body    []byte
	err     error
}

// raceChanges sends two changes of a file at once and returns the file as the accepted
// one left it.
func (c *cluster) raceChanges(t *testing.T, before server.ConfigFile) server.ConfigFile {
	t.Helper()
	answers := make(chan changeAnswer, 2)
	for i, n := range c.nodes[:2] {
		content := fmt.Sprintf("%s\n# Seen by operator %d.\n", before.Content, i)
		go func() {
			header := http.Header{server.HeaderBaseRevision: {fmt.Sprint(before.Revision)}}
			a := changeAnswer{content: content}
			a.status, _, a.body, a.err = n.operator(http.MethodPut, "/operator/v1/config/"+string(changedFile), header, []byte(content))
			answers <- a
		}()
	}
	var won []server.ConfigFile
	for range 2 {
		a := <-answers
		require.NoError(t, a.err)
		if a.status == http.StatusOK {
			var answer server.ChangeResult
			require.NoError(t, json.Unmarshal(a.body, &answer))
			require.True(t, answer.Accepted)
			won = append(won, server.ConfigFile{
				File:     changedFile,
				Revision: answer.Revision,
				Content:  a.content,
			})
			continue
		}
		require.Equal(t, http.StatusConflict, a.status, "%s", a.body)
		var problem server.Problem
		require.NoError(t, json.Unmarshal(a.body, &problem))
		require.Equal(t, server.ReasonChangeRejected, problem.Reason)
	}
	require.Len(t, won, 1, "exactly one change is accepted")
	require.Greater(t, won[0].Revision, before.Revision)
	return won[0]
}

// file returns a file of the configuration in force on a node.
func (n *node) file(name identifier.FileName) (server.ConfigFile, bool) {
	var f server.ConfigFile
	code, _, body, err := n.operator(http.MethodGet, "/operator/v1/config/"+string(name), nil, nil)
	return f, err == nil && code == http.StatusOK && json.Unmarshal(body, &f) == nil
}

// requireInForce waits until a file, at its revision, is in force on the nodes.
func (c *cluster) requireInForce(t *testing.T, nodes []*node, want server.ConfigFile) {
	t.Helper()
	for _, n := range nodes {
		require.Eventually(t, func() bool {
			got, ok := n.file(want.File)
			s, answered := n.status()
			return ok && answered && got == want && s.Revision == want.Revision
		}, maxInForceTime, pollInterval, "%s has revision %d in force", n.vm, want.Revision)
	}
}

// configAppendedSince reports whether all configuration records in the log were
// appended after a time.
func (c *cluster) configAppendedSince(t *testing.T, since time.Time) bool {
	t.Helper()
	var read encoder.ReadResponse
	require.NoError(t, c.platform.Get(t.Context(), "/log/read?stream=config&from=0&limit=5000", &read))
	return len(read.Records) > 0 && read.Records[0].AppendedMS > since.UnixMilli()
}
