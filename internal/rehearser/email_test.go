package rehearser

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/platform"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/responder"
)

const (
	emailPath = "/v1/services/rejection_email/send"
	// emailTimeout limits the wait for the answer to an email. It exceeds the service's
	// deadline of 30 s.
	emailTimeout = 40 * time.Second
)

type emailAnswer struct {
	node    *node
	status  int
	header  http.Header
	problem server.Problem
	reply   responder.Reply
	err     error
	elapsed time.Duration
}

// sendEmail sends a rejection email to one node and follows redirects.
func sendEmail(n *node, key, text string) emailAnswer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), emailTimeout)
	defer cancel()
	method, address, path, body := http.MethodPost, n.address, emailPath, []byte(text)
	header := http.Header{"Idempotency-Key": {key}}
	a := emailAnswer{node: n}
	for range 5 {
		a.status, a.header, body, a.err = exchange(ctx, method, address, path, "demo-portal", header, body)
		a.elapsed = time.Since(began)
		if a.status != http.StatusSeeOther && a.status != http.StatusTemporaryRedirect {
			break
		}
		to, err := url.Parse(a.header.Get("Location"))
		if err != nil {
			a.err = err
			break
		}
		method, address, path, body = http.MethodGet, to.Host, to.RequestURI(), nil
	}
	if a.err == nil && a.status == http.StatusOK {
		a.err = json.Unmarshal(body, &a.reply)
	} else if a.err == nil {
		a.err = json.Unmarshal(body, &a.problem)
	}
	return a
}

// sendEmails sends one email to several nodes at once and returns the answers as they
// arrive.
func sendEmails(nodes []*node, key, text string) <-chan emailAnswer {
	answers := make(chan emailAnswer, len(nodes))
	for _, n := range nodes {
		go func() { answers <- sendEmail(n, key, text) }()
	}
	return answers
}

// plainRuns returns the number of runs of a text on the plain servers.
func (c *cluster) plainRuns(t *testing.T, text string) int {
	t.Helper()
	runs := 0
	for _, vm := range c.servers(t, "portal") {
		var ledger responder.Ledger
		require.NoError(t, standin.Control{Address: vm.Address}.Get(t.Context(), "/ledger", &ledger))
		for request, body := range ledger.Bodies {
			if body == text {
				runs += ledger.Runs[request]
			}
		}
	}
	return runs
}

// checkEmail compares the answers to one email with the runs of it, and returns the
// number of successful answers.
func (c *cluster) checkEmail(t *testing.T, text string, answers []emailAnswer) (done int) {
	t.Helper()
	runs := c.plainRuns(t, text)
	require.LessOrEqual(t, runs, 1, "%s ran %d times", text, runs)
	for _, a := range answers {
		switch {
		case a.err != nil: // The node was killed before it answered.
		case a.status == http.StatusOK:
			done++
			require.Equal(t, 1, runs, "%s: %s answered done", text, a.node.vm)
			require.Equal(t, text, a.reply.Body, "another request's answer")
		case a.problem.Outcome == messenger.NotRun:
			require.Zero(t, runs, "%s: %s answered not_run: %+v", text, a.node.vm, a.problem)
		default:
			require.Equal(t, messenger.Unknown, a.problem.Outcome, "%s at %s: %+v", text, a.node.vm, a.problem)
		}
	}
	return done
}

// emailRound is one email and the faults while it is sent.
type emailRound struct {
	name string
	// loseAppends is the number of appends that take effect but return a failure.
	loseAppends int
	loss        platform.DropMode
	// slowLog delays each call of the log, so that the kill falls between the append of
	// the claim and reading it back. slowRun delays the plain servers, so that the kill
	// falls between sending the email and its answer.
	slowLog time.Duration
	slowRun time.Duration
	// killAfter is the timeline event after which its node is killed; empty for none.
	killAfter string
}

var emailRounds = []emailRound{
	{
		name: "no fault",
	},
	{
		name:        "three appends fail after they took effect",
		loseAppends: 3,
		loss:        platform.DropUnavailable,
	},
	{
		name:        "nine appends get no answer",
		loseAppends: 9,
		loss:        platform.DropClosed,
	},
	{
		name:        "the winner is killed while the email runs",
		loseAppends: 3,
		loss:        platform.DropUnavailable,
		slowRun:     2 * time.Second,
		killAfter:   "claim_won",
	},
	{
		name:        "a claimant is killed before it reads its claim",
		loseAppends: 3,
		loss:        platform.DropClosed,
		slowLog:     300 * time.Millisecond,
		killAfter:   "claim_appended",
	},
}

// Guards against an email that runs twice, or a not_run answer after it ran, when log appends take
// effect but return failures, and a node is killed in some rounds.
func TestRejectionEmailAtThreeNodes(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	for _, round := range emailRounds {
		c.runEmailRound(t, round)
	}
	c.setPortalFaults(t, map[string]any{"run_slow_ms": 0})
	c.setFaults(t, map[string]any{
		"lose_appends": 0,
		"log_slow_ms":  0,
	})
	last := "Dear author, this comes last."
	require.Equal(t, 1, c.checkEmail(t, last, []emailAnswer{sendEmail(c.nodes[0], t.Name(), last)}))
	for _, round := range emailRounds {
		require.LessOrEqual(t, c.plainRuns(t, round.text()), 1, "%s: it ran again later", round.name)
	}
}

func (r emailRound) text() string { return "Dear author, not this time: " + r.name }

// runEmailRound sends one email to three nodes and checks their answers.
func (c *cluster) runEmailRound(t *testing.T, round emailRound) {
	t.Helper()
	c.setPortalFaults(t, map[string]any{"run_slow_ms": round.slowRun.Milliseconds()})
	c.setFaults(t, map[string]any{
		"lose_appends": round.loseAppends,
		"loss":         round.loss,
		"log_slow_ms":  round.slowLog.Milliseconds(),
	})
	nodes := append([]*node{}, c.nodes[:3]...)
	key := t.Name() + round.name
	began := time.Now()
	incoming := sendEmails(nodes, key, round.text())
	if round.killAfter != "" {
		victim := c.awaitEvent(t, nodes, round.killAfter, began)
		c.killNode(t, victim)
		t.Logf("%s: killed %s after %s", round.name, victim.vm, time.Since(began).Round(time.Millisecond))
	}
	var answers []emailAnswer
	for range nodes {
		a := <-incoming
		answers = append(answers, a)
		t.Logf("%s: %s: status %d outcome %q reason %q error %v after %s", round.name,
			a.node.vm, a.status, a.problem.Outcome, a.problem.Reason, a.err, a.elapsed.Round(time.Millisecond))
	}
	done := c.checkEmail(t, round.text(), answers)
	if round.killAfter == "" {
		require.Equal(t, len(nodes), done, "%s: all nodes answer if none is killed", round.name)
	}
}

// setPortalFaults sets fault switches of all plain servers.
func (c *cluster) setPortalFaults(t *testing.T, faults map[string]any) {
	t.Helper()
	for _, vm := range c.servers(t, "portal") {
		require.NoError(t, standin.Control{Address: vm.Address}.Post(t.Context(), "/faults", faults, nil))
	}
}

// awaitEvent returns the first of the nodes whose timeline has a new event of a kind.
func (c *cluster) awaitEvent(t *testing.T, nodes []*node, kind string, since time.Time) *node {
	t.Helper()
	var match *node
	c.eventually(t, kind, func() bool {
		for _, n := range nodes {
			if n.hasEvent(kind, since) {
				match = n
				return true
			}
		}
		return false
	})
	return match
}

func (n *node) hasEvent(kind string, since time.Time) bool {
	var entries []historian.Entry
	code, _, body, err := n.operator(http.MethodGet, "/operator/v1/timeline?kind="+kind, nil, nil)
	if err != nil || code != http.StatusOK || json.Unmarshal(body, &entries) != nil || len(entries) == 0 {
		return false
	}
	return !entries[len(entries)-1].Time.Std().Before(since.Truncate(time.Millisecond))
}
