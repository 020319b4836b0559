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
	// emailTime bounds the wait for the answer to an email, which the service's
	// deadline of 30 s does, too.
	emailTime = 40 * time.Second
)

// emailAnswer is what one node said to a rejection email.
type emailAnswer struct {
	node    *node
	status  int
	header  http.Header
	problem server.Problem
	reply   responder.Reply
	err     error
	took    time.Duration
}

// sendEmail sends a rejection email to one node, and follows the node's
// redirects to another.
func sendEmail(n *node, key, text string) emailAnswer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), emailTime)
	defer cancel()
	method, address, path, body := http.MethodPost, n.address, emailPath, []byte(text)
	header := http.Header{"Idempotency-Key": {key}}
	a := emailAnswer{node: n}
	for range 5 {
		a.status, a.header, body, a.err = exchange(ctx, method, address, path, "demo-portal", header, body)
		a.took = time.Since(began)
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

// sendEmails sends one email to several nodes at once and returns their answers
// as they come.
func sendEmails(nodes []*node, key, text string) <-chan emailAnswer {
	answers := make(chan emailAnswer, len(nodes))
	for _, n := range nodes {
		go func() { answers <- sendEmail(n, key, text) }()
	}
	return answers
}

// plainRuns counts how often the plain servers ran anything with this text.
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

// judgeEmail checks what the callers of one email were told against what ran.
func (c *cluster) judgeEmail(t *testing.T, text string, answers []emailAnswer) (done int) {
	t.Helper()
	runs := c.plainRuns(t, text)
	require.LessOrEqual(t, runs, 1, "%s ran %d times", text, runs)
	for _, a := range answers {
		switch {
		case a.err != nil: // The node is gone, and the caller was told nothing.
		case a.status == http.StatusOK:
			done++
			require.Equal(t, 1, runs, "%s: %s said done", text, a.node.vm)
			require.Equal(t, text, a.reply.Body, "another request's answer")
		case a.problem.Outcome == messenger.NotRun:
			require.Zero(t, runs, "%s: %s said not_run: %+v", text, a.node.vm, a.problem)
		default:
			require.Equal(t, messenger.Unknown, a.problem.Outcome, "%s at %s: %+v", text, a.node.vm, a.problem)
		}
	}
	return done
}

// emailRound is one email and what goes wrong while it is sent.
type emailRound struct {
	name string
	// loseAppends counts the appends that take effect and answer "failed".
	loseAppends int
	loss        platform.LossKind
	// slowLog delays each call of the log, so that the kill falls between the
	// claim and its reading back; slowRun keeps the plain servers at work, so
	// that it falls between the sending and the answer.
	slowLog time.Duration
	slowRun time.Duration
	// kill chooses the node that is killed once its time line has this event.
	kill string
}

var emailRounds = []emailRound{
	{
		name: "no fault",
	},
	{
		name:        "three appends fail after they took effect",
		loseAppends: 3,
		loss:        platform.LossUnavailable,
	},
	{
		name:        "nine appends get no answer",
		loseAppends: 9,
		loss:        platform.LossClosed,
	},
	{
		name:        "the winner is killed while the email runs",
		loseAppends: 3,
		loss:        platform.LossUnavailable,
		slowRun:     2 * time.Second,
		kill:        "claim_won",
	},
	{
		name:        "a claimant is killed before it reads its claim",
		loseAppends: 3,
		loss:        platform.LossClosed,
		slowLog:     300 * time.Millisecond,
		kill:        "claim_appended",
	},
}

// TestRejectionEmailAtThreeNodes: a caller sends one rejection email under one
// key to three nodes at once, because it got no answer fast enough. The log
// takes the nodes' claims and answers that it failed, so that none can tell from
// the answer whether its claim stands; in the last rounds a node is killed right
// after. Each node reads the log back, and only the first claim in log order may
// send, once: authors screenshot a doubled rejection. Whoever is told not_run
// must be able to rely on it.
func TestRejectionEmailAtThreeNodes(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	for _, round := range emailRounds {
		c.playEmail(t, round)
	}
	c.setPortalFaults(t, map[string]any{"run_slow_ms": 0})
	c.setFaults(t, map[string]any{
		"lose_appends": 0,
		"log_slow_ms":  0,
	})
	last := "Dear author, this comes last."
	require.Equal(t, 1, c.judgeEmail(t, last, []emailAnswer{sendEmail(c.nodes[0], t.Name(), last)}))
	for _, round := range emailRounds {
		require.LessOrEqual(t, c.plainRuns(t, round.text()), 1, "%s: it ran again later", round.name)
	}
}

func (r emailRound) text() string { return "Dear author, not this time: " + r.name }

// playEmail sends one email to three nodes and judges what they say.
func (c *cluster) playEmail(t *testing.T, round emailRound) {
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
	if round.kill != "" {
		victim := c.awaitEvent(t, nodes, round.kill, began)
		c.killNode(t, victim)
		t.Logf("%s: killed %s after %s", round.name, victim.vm, time.Since(began).Round(time.Millisecond))
	}
	var answers []emailAnswer
	for range nodes {
		a := <-incoming
		answers = append(answers, a)
		t.Logf("%s: %s: status %d outcome %q reason %q error %v after %s", round.name,
			a.node.vm, a.status, a.problem.Outcome, a.problem.Reason, a.err, a.took.Round(time.Millisecond))
	}
	done := c.judgeEmail(t, round.text(), answers)
	if round.kill == "" {
		require.Equal(t, len(nodes), done, "%s: with no node lost, all are answered", round.name)
	}
}

// setPortalFaults sets fault switches of all plain servers.
func (c *cluster) setPortalFaults(t *testing.T, faults map[string]any) {
	t.Helper()
	for _, vm := range c.servers(t, "portal") {
		require.NoError(t, standin.Control{Address: vm.Address}.Post(t.Context(), "/faults", faults, nil))
	}
}

// awaitEvent returns the first of the nodes that has a new event of a kind on
// its time line.
func (c *cluster) awaitEvent(t *testing.T, nodes []*node, kind string, since time.Time) *node {
	t.Helper()
	var found *node
	c.eventually(t, kind, func() bool {
		for _, n := range nodes {
			if n.hasEvent(kind, since) {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

func (n *node) hasEvent(kind string, since time.Time) bool {
	var entries []historian.Entry
	code, _, body, err := n.operator(http.MethodGet, "/operator/v1/timeline?kind="+kind, nil, nil)
	if err != nil || code != http.StatusOK || json.Unmarshal(body, &entries) != nil || len(entries) == 0 {
		return false
	}
	return !entries[len(entries)-1].Time.Std().Before(since.Truncate(time.Millisecond))
}
