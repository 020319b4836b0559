package rehearser

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Guards against planned stops that break a connection with a request on it, when all nodes are
// replaced one by one under load. Redirects and refused connections are allowed.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	// The report could end within 20 s, and its node would wait for it.
	c := newCluster(t, options{drainTime: "5s"})
	c.setPortalFaults(t, map[string]any{"run_slow_ms": lookupTime.Milliseconds()})
	transport := &recordingTransport{next: &http.Transport{IdleConnTimeout: 5 * time.Second}}
	r := startReport(t, c.client("monday_reports", transport), "Report on the manuscript 'Replacement'.", 800)
	r.waitTokens(t, 50)
	load := startLoad(t, c.client("dashboard", transport))
	_, address := r.attachment()
	servingNode := c.nodeAt(t, address)
	for i, n := range append([]*node{servingNode}, c.others(servingNode)...) {
		answer := c.lookUpAt(t, n)
		took := n.terminate(t)
		require.Equal(t, http.StatusOK, <-answer, "%s ends the lookup that it has", n.vm)
		c.removeNode(n)
		if i%2 == 0 {
			c.startNodeAt(t, n.vm, n.zone, n.host)
		} else {
			require.NoError(t, c.platform.Delete(t.Context(), "/admin/vms/"+string(n.vm)))
			c.startNode(t, identifier.VMID(fmt.Sprintf("entry-%d", len(zones)+i)), n.zone)
		}
		c.waitConverged(t)
		t.Logf("%s stopped in %s after %d tokens of the report", n.vm, took.Round(time.Millisecond), r.count())
	}
	answered := load.stop()
	r.waitComplete(t)
	t.Logf("%d small requests answered, the report by %d nodes with a longest pause of %s",
		answered, len(r.trace.Nodes), r.takeMaxGap())
	require.Greater(t, len(r.trace.Nodes), 1, "the report's node was replaced under it")
	require.Empty(t, load.failures)
	require.Empty(t, transport.brokenConnections())
	require.Greater(t, answered, 30, "the load was steady")
}

// lookUpAt starts a lookup at a node and returns once a plain server runs it. The
// channel receives the status of the response, or zero if the connection broke.
func (c *cluster) lookUpAt(t *testing.T, n *node) <-chan int {
	t.Helper()
	answer := make(chan int, 1)
	text := "the last lookup at " + string(n.vm)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		code, _, _, err := exchange(ctx, http.MethodPost, n.address, "/v1/services/portal_lookup/last", "demo-dashboard", nil, []byte(text))
		if err != nil {
			code = 0
		}
		answer <- code
	}()
	c.eventually(t, "the lookup is in flight", func() bool { return c.plainRuns(t, text) > 0 })
	return answer
}

// load runs callers that send small requests one after another.
type load struct {
	// finish ends the load after the requests in flight, abort at once.
	finish context.CancelFunc
	abort  context.CancelFunc
	work   sync.WaitGroup

	mu       sync.Mutex
	answered int
	failures []string
}

const (
	// loadInterval is the interval between the requests of each caller.
	loadInterval = 250 * time.Millisecond
	// lookupTime is the time that a plain server takes for a lookup, long enough for
	// some to be in flight when a node stops.
	lookupTime = 500 * time.Millisecond
)

func startLoad(t *testing.T, client *caller.Client) *load {
	t.Helper()
	requests, abort := context.WithCancel(context.Background())
	more, finish := context.WithCancel(requests)
	l := &load{
		finish: finish,
		abort:  abort,
	}
	l.work.Go(func() { l.run(more, func(i int) error { return tag(requests, client, i) }) })
	for range 3 {
		l.work.Go(func() { l.run(more, func(i int) error { return lookUp(requests, client, i) }) })
	}
	t.Cleanup(func() {
		l.abort()
		l.work.Wait()
	})
	return l
}

// stop ends the load after the requests in flight and returns the number of answered
// requests.
func (l *load) stop() int {
	l.finish()
	l.work.Wait()
	return l.answered
}

func (l *load) run(more context.Context, request func(i int) error) {
	next := time.NewTicker(loadInterval)
	defer next.Stop()
	for i := 0; more.Err() == nil; i++ {
		l.record(request(i))
		select {
		case <-next.C:
		case <-more.Done():
		}
	}
}

func (l *load) record(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failures = append(l.failures, err.Error())
		return
	}
	l.answered++
}

// wrongAnswerError reports an answer that does not belong to the request.
type wrongAnswerError struct {
	want string
	got  string
}

func (e *wrongAnswerError) Error() string {
	return fmt.Sprintf("wrong answer: want %q, got %q", e.want, e.got)
}

func tag(ctx context.Context, client *caller.Client, i int) error {
	prompt := fmt.Sprintf("Tag submission %d.", i)
	text, _, err := client.Complete(ctx, caller.Prompt{
		Service:   "genre_tag",
		Text:      prompt,
		MaxTokens: 4,
	})
	if want := standin.Answer(prompt, 4); err == nil && text != want {
		return &wrongAnswerError{
			want: want,
			got:  text,
		}
	}
	return err
}

func lookUp(ctx context.Context, client *caller.Client, i int) error {
	path := fmt.Sprintf("/submissions/%d", i)
	reply, _, err := client.Call(ctx, caller.Call{
		Service: "portal_lookup",
		Method:  http.MethodGet,
		Path:    path,
	})
	if want := `"/call` + path + `"`; err == nil && !strings.Contains(string(reply.Body), want) {
		return &wrongAnswerError{
			want: want,
			got:  string(reply.Body),
		}
	}
	return err
}

// recordingTransport records connections that broke during a request. A failure to
// connect is not recorded, because nothing was sent.
type recordingTransport struct {
	next http.RoundTripper

	mu     sync.Mutex
	broken []string
}

var _ http.RoundTripper = (*recordingTransport)(nil)

// RoundTrip implements http.RoundTripper.
func (w *recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := w.next.RoundTrip(r)
	var opening *net.OpError
	if err != nil {
		if !errors.As(err, &opening) || opening.Op != "dial" {
			w.record(r, err)
		}
		return nil, err
	}
	response.Body = &recordedBody{
		ReadCloser: response.Body,
		request:    r,
		stream:     strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"),
		transport:  w,
	}
	return response, nil
}

func (w *recordingTransport) record(r *http.Request, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf("%s %s: %v", r.Method, r.URL, err))
}

func (w *recordingTransport) brokenConnections() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken
}

// recordedBody is the body of a response. It records a stream that does not end with
// one of lastEvents.
type recordedBody struct {
	io.ReadCloser
	request   *http.Request
	stream    bool
	tail      []byte
	transport *recordingTransport
}

// lastEvents are the events that end a stream.
var lastEvents = []string{server.DataDone, "event: " + server.EventMoved, "event: " + server.EventError}

// tailBytes is the size of the kept tail of a stream, enough for its last event.
const tailBytes = 2 << 10

// Read implements io.Reader.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.stream {
		b.tail = append(b.tail, p[:n]...)
		b.tail = b.tail[max(0, len(b.tail)-tailBytes):]
	}
	switch {
	case errors.Is(err, io.EOF) && b.stream && !b.ended():
		b.transport.record(b.request, io.ErrUnexpectedEOF)
	case err != nil && !errors.Is(err, io.EOF):
		b.transport.record(b.request, err)
	}
	return n, err
}

func (b *recordedBody) ended() bool {
	for _, event := range lastEvents {
		if bytes.Contains(b.tail, []byte(event)) {
			return true
		}
	}
	return false
}
