package server_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func submitReturning(a *answerer.Answer) func(server.Submission) (*answerer.Answer, error) {
	return func(server.Submission) (*answerer.Answer, error) { return a, nil }
}

const streamChat = `{"model":"report","messages":[{"content":"a ship"}],"max_tokens":9,"stream":true}`

func TestStream(t *testing.T) {
	b := &fakeBackend{submit: submitReturning(finish(newAnswer("r1", "the ", "ship")))}
	address := start(t, b, server.Limits{})
	response, body := exchange(t, "POST", address, "/v1/chat/completions", streamChat, map[string]string{
		"Idempotency-Key": "k1",
		"Deadline-Ms":     "1500",
	})
	require.Equal(t, "r1", response.Header.Get("Request-Id"))
	require.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	require.Regexp(t, `(?s)^: heartbeat\n\nid: 1-b207703ec039cadc\ndata: \{.*"content":"the ".*\}\n\n`+
		`id: 2-fd11b1ba35f7741a\ndata: \{.*"content":"ship".*\}\n\ndata: \{.*"finish_reason":"stop".*\}\n\ndata: \[DONE\]\n\n$`, body)
	require.Equal(t, []server.Submission{{
		Account:   "harbor",
		Service:   "report",
		Key:       "k1",
		Remaining: 1500,
		Prompt:    "a ship",
		MaxTokens: 9,
	}}, b.submitted)
}

// Without heartbeats a caller could not distinguish a slow model from a dead
// connection.
func TestHeartbeats(t *testing.T) {
	a := newAnswer("r1")
	b := &fakeBackend{answers: map[identifier.RequestID]*answerer.Answer{"r1": a}}
	address := start(t, b, server.Limits{HeartbeatInterval: timekeeper.Millisecond})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /v1/requests/r1 HTTP/1.0\r\nAuthorization: Bearer "+harborKey+
		"\r\nAccept: text/event-stream\r\n\r\n")
	require.NoError(t, err)
	lines := bufio.NewScanner(conn)
	for beats := 0; beats < 3; {
		require.True(t, lines.Scan())
		if lines.Text() == ": heartbeat" {
			beats++
		}
	}
	a.Append(1, 1, "late")
	finish(a)
	var rest strings.Builder
	for lines.Scan() {
		rest.WriteString(lines.Text())
	}
	require.Contains(t, rest.String(), "late")
	require.Contains(t, rest.String(), "[DONE]")
}

// A request moves to another node during a stream. The caller receives the
// released tokens and then the new address.
func TestStreamMoved(t *testing.T) {
	a := newAnswer("r1", "the ")
	a.Redirect("entry-9", "127.0.0.9:7001")
	address := start(t, &fakeBackend{submit: submitReturning(a)}, server.Limits{})
	_, body := exchange(t, "POST", address, "/v1/chat/completions", streamChat, nil)
	require.Contains(t, body, "id: 1-b207703ec039cadc\n")
	require.Contains(t, body, "event: moved\ndata: {\"request_id\":\"r1\",\"address\":\"127.0.0.9:7001\"}\n\n")
	require.NotContains(t, body, "[DONE]")
}

// An accepted request fails. The partial stream must end with the problem and
// must not look like a complete answer.
func TestStreamFailed(t *testing.T) {
	a := newAnswer("r1", "the ")
	a.Finish(answerer.End{
		Outcome: messenger.Unknown,
		Reason:  messenger.ReasonRetriesExhausted,
	})
	address := start(t, &fakeBackend{submit: submitReturning(a)}, server.Limits{})
	_, body := exchange(t, "POST", address, "/v1/chat/completions", streamChat, nil)
	require.Contains(t, body, "event: error\ndata: {")
	require.Contains(t, body, `"outcome":"unknown"`)
	require.NotContains(t, body, "[DONE]")
}

func TestNonStreamingAnswer(t *testing.T) {
	b := &fakeBackend{submit: submitReturning(finish(newAnswer("r1", "the ", "ship")))}
	address := start(t, b, server.Limits{})
	response, body := exchange(t, "POST", address, "/v1/chat/completions", chat, nil)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "r1", response.Header.Get("Request-Id"))
	var c struct {
		Choices []struct{ Message struct{ Content string } }
	}
	require.NoError(t, json.Unmarshal([]byte(body), &c))
	require.Equal(t, "the ship", c.Choices[0].Message.Content)
}

// A redirect to another node must turn a POST into a GET and repeat a GET.
func TestNonStreamingAnswerMoved(t *testing.T) {
	a := newAnswer("r1", "the ")
	a.Redirect("entry-9", "127.0.0.9:7001")
	b := &fakeBackend{
		submit:  submitReturning(a),
		answers: map[identifier.RequestID]*answerer.Answer{"r1": a},
	}
	address := start(t, b, server.Limits{})
	response, _ := exchange(t, "POST", address, "/v1/chat/completions", chat, nil)
	require.Equal(t, http.StatusSeeOther, response.StatusCode)
	require.Equal(t, "http://127.0.0.9:7001/v1/requests/r1", response.Header.Get("Location"))
	response, _ = exchange(t, "GET", address, "/v1/requests/r1", "", nil)
	require.Equal(t, http.StatusTemporaryRedirect, response.StatusCode)
	require.Equal(t, "http://127.0.0.9:7001/v1/requests/r1", response.Header.Get("Location"))
}

func TestReattachRedirects(t *testing.T) {
	b := &fakeBackend{
		attach: func(request identifier.RequestID) (*answerer.Answer, error) {
			return nil, &answerer.NotOwnerError{
				Request: request,
				Address: "127.0.0.9:7001",
			}
		},
	}
	address := start(t, b, server.Limits{})
	for _, method := range []string{"GET", "DELETE"} {
		response, _ := exchange(t, method, address, "/v1/requests/r1", "", nil)
		require.Equal(t, http.StatusTemporaryRedirect, response.StatusCode)
		require.Equal(t, "http://127.0.0.9:7001/v1/requests/r1", response.Header.Get("Location"))
	}
}

// The request of another account must be indistinguishable from one that does
// not exist. The outcome is unknown, since another node may have run it.
func TestRequestOfOtherAccountIsUnknown(t *testing.T) {
	b := &fakeBackend{answers: map[identifier.RequestID]*answerer.Answer{"r1": newAnswer("r1", "secret")}}
	address := start(t, b, server.Limits{})
	for _, method := range []string{"GET", "DELETE"} {
		response, body := exchange(t, method, address, "/v1/requests/r1", "",
			map[string]string{"Authorization": "Bearer " + tidelineKey})
		p := parseProblem(t, response, body)
		require.Equal(t, http.StatusNotFound, p.Status)
		require.Equal(t, messenger.Unknown, p.Outcome)
		require.NotContains(t, body, "secret")
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		reason messenger.Reason
		status int
	}{
		{
			reason: messenger.ReasonAccountLimit,
			status: 429,
		},
		{
			reason: messenger.ReasonOverload,
			status: 503,
		},
		{
			reason: messenger.ReasonDeadline,
			status: 504,
		},
		{
			reason: messenger.ReasonDuplicate,
			status: 409,
		},
		{
			reason: messenger.ReasonLogUnavailable,
			status: 503,
		},
		{
			reason: messenger.ReasonRetriesExhausted,
			status: 502,
		},
	}
	for _, test := range tests {
		t.Run(string(test.reason), func(t *testing.T) {
			a := answerer.New(answerer.Config{})
			a.Refuse(messenger.Refusal{
				Reason:     test.reason,
				Outcome:    messenger.NotRun,
				RetryAfter: 1200,
			})
			address := start(t, &fakeBackend{submit: submitReturning(a)}, server.Limits{})
			response, body := exchange(t, "POST", address, "/v1/chat/completions", streamChat, nil)
			p := parseProblem(t, response, body)
			require.Equal(t, test.status, p.Status)
			require.Equal(t, test.reason, p.Reason)
			require.Equal(t, messenger.NotRun, p.Outcome)
			require.Equal(t, timekeeper.Duration(1200), p.RetryAfter)
			require.Equal(t, "2", response.Header.Get("Retry-After"))
		})
	}
}

func TestPlainCall(t *testing.T) {
	a := newAnswer("r1")
	a.SetReply(1, answerer.Reply{
		Status: http.StatusAccepted,
		Header: map[string]string{
			"content-type":   "text/plain",
			"content-length": "999",
		},
		Body: []byte("queued"),
	})
	b := &fakeBackend{submit: submitReturning(finish(a))}
	address := start(t, b, server.Limits{})
	response, body := exchange(t, "POST", address, "/v1/services/email/send/now?to=x", "hello",
		map[string]string{"Content-Type": "text/plain"})
	require.Equal(t, http.StatusAccepted, response.StatusCode)
	require.Equal(t, "done", response.Header.Get("Outcome"))
	require.Equal(t, "queued", body)
	require.Equal(t, "/send/now?to=x", b.submitted[0].Path)
	require.Equal(t, "hello", string(b.submitted[0].Body))
	require.Equal(t, "text/plain", b.submitted[0].ContentType)
}
