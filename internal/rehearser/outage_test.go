package rehearser

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

const (
	// maxFirstRefusalTime limits the first refusals, when no node has noticed the log
	// outage: a node retries its claim for half a second.
	maxFirstRefusalTime = 2 * time.Second
	// maxRefusalTime limits the refusals after that.
	maxRefusalTime = time.Second
)

// Guards against requests that may run only once but run during a log outage, and against the loss
// of requests that need no log.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	c.setFaults(t, map[string]any{"log_outage": true})

	const text = "Dear author, not during an outage."
	incoming := sendEmails(c.nodes, t.Name(), text)
	for range c.nodes {
		a := <-incoming
		requireLogRefusal(t, a)
		require.Less(t, a.elapsed, maxFirstRefusalTime)
	}

	// A node that has noticed the outage refuses at once.
	c.eventually(t, "a refusal at once", func() bool {
		a := sendEmail(c.nodes[0], t.Name()+"-later", text)
		requireLogRefusal(t, a)
		return a.elapsed < maxRefusalTime
	})

	// A request that needs no log is accepted and survives the loss of its node.
	r := startReport(t, c.client("monday_reports", nil), "Report on the manuscript 'Ferry'.", 400)
	r.waitTokens(t, 100)
	request, address := r.attachment()
	c.killNode(t, c.nodeAt(t, address))
	r.waitComplete(t)
	c.requireNoRestart(t, request)

	require.Zero(t, c.plainRuns(t, text), "a refused email ran")
	c.setFaults(t, map[string]any{"log_outage": false})
	c.eventually(t, "the key works once the log is back", func() bool {
		a := sendEmail(c.nodes[0], t.Name(), text)
		return a.err == nil && a.status == http.StatusOK
	})
	require.Equal(t, 1, c.plainRuns(t, text))
}

// requireLogRefusal checks that an email was refused because of the log outage. Its
// outcome may be unknown, because other nodes may have received the same key.
func requireLogRefusal(t *testing.T, a emailAnswer) {
	t.Helper()
	require.NoError(t, a.err)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Equal(t, messenger.ReasonLogUnavailable, a.problem.Reason)
	require.Contains(t, []messenger.Outcome{messenger.Unknown, messenger.NotRun}, a.problem.Outcome)
	require.Positive(t, a.problem.RetryAfter)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	t.Logf("%s refused with outcome %s after %s", a.node.vm, a.problem.Outcome, a.elapsed.Round(time.Millisecond))
}
