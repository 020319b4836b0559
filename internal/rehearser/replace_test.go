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

// TestRollingReplacement: an operator replaces all six nodes one by one, while
// callers look things up and read a long report. Each node gets SIGTERM, hands
// over what it cannot end, closes its ports when its last caller has gone and
// exits with 0; then a new one starts, by turns on the same VM as a new
// incarnation and on a new VM. Callers see redirects and refused connections of
// nodes that are gone, which cost them another address, but no connection that
// breaks under a request: a planned stop cuts nothing.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	// The report could end within 20 s, and its node would wait for it.
	c := newCluster(t, options{drainTime: "5s"})
	c.setPortalFaults(t, map[string]any{"run_slow_ms": lookUpTime.Milliseconds()})
	watch := &watchingTransport{next: &http.Transport{IdleConnTimeout: 5 * time.Second}}
	r := ask(t, c.client("monday_reports", watch), "Report on the manuscript 'Replacement'.", 800)
	r.waitTokens(t, 50)
	load := startLoad(t, c.client("dashboard", watch))
	_, address := r.home()
	home := c.at(t, address)
	for i, n := range append([]*node{home}, c.others(home)...) {
		answer := c.lookUpAt(t, n)
		took := n.terminate(t)
		require.Equal(t, http.StatusOK, <-answer, "%s ends the lookup that it has", n.vm)
		c.lose(n)
		if i%2 == 0 {
			c.startNodeAt(t, n.vm, n.zone, n.host)
		} else {
			require.NoError(t, c.platform.Delete(t.Context(), "/admin/vms/"+string(n.vm)))
			c.startNode(t, identifier.VMID(fmt.Sprintf("entry-%d", len(zones)+i)), n.zone)
		}
		c.waitAgreed(t)
		t.Logf("%s stopped in %s with %d tokens of the report out", n.vm, took.Round(time.Millisecond), r.count())
	}
	answered := load.stop()
	r.waitWhole(t)
	t.Logf("%d small requests answered, the report by %d nodes with a longest pause of %s",
		answered, len(r.trace.Nodes), r.takeGap())
	require.Greater(t, len(r.trace.Nodes), 1, "the report's node was replaced under it")
	require.Empty(t, load.failures)
	require.Empty(t, watch.brokenOff())
	require.Greater(t, answered, 30, "the load was steady")
}

// lookUpAt starts a lookup at a node and returns once a plain server works on
// it. The channel brings the status of the answer, or zero where the connection
// broke.
func (c *cluster) lookUpAt(t *testing.T, n *node) <-chan int {
	t.Helper()
	answer := make(chan int, 1)
	text := "the last lookup at " + string(n.vm)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTime)
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

// load is callers that send small requests one after the other.
type load struct {
	// last ends the load after the requests under way, abort at once.
	last  context.CancelFunc
	abort context.CancelFunc
	work  sync.WaitGroup

	mu       sync.Mutex
	answered int
	failures []string
}

const (
	// loadEvery spaces the requests of each of the callers.
	loadEvery = 250 * time.Millisecond
	// lookUpTime is how long a plain server works on a lookup, so that a stop
	// meets some in flight.
	lookUpTime = 500 * time.Millisecond
)

func startLoad(t *testing.T, client *caller.Client) *load {
	t.Helper()
	requests, abort := context.WithCancel(context.Background())
	more, last := context.WithCancel(requests)
	l := &load{
		last:  last,
		abort: abort,
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

// stop ends the load between two requests and returns how many were answered.
func (l *load) stop() int {
	l.last()
	l.work.Wait()
	return l.answered
}

func (l *load) run(more context.Context, request func(i int) error) {
	next := time.NewTicker(loadEvery)
	defer next.Stop()
	for i := 0; more.Err() == nil; i++ {
		l.note(request(i))
		select {
		case <-next.C:
		case <-more.Done():
		}
	}
}

func (l *load) note(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failures = append(l.failures, err.Error())
		return
	}
	l.answered++
}

// wrongAnswerError reports an answer that is not the request's own.
type wrongAnswerError struct {
	want string
	got  string
}

func (e *wrongAnswerError) Error() string { return fmt.Sprintf("want %q, got %q", e.want, e.got) }

func tag(ctx context.Context, client *caller.Client, i int) error {
	prompt := fmt.Sprintf("Tag submission %d.", i)
	text, _, err := client.Whole(ctx, caller.Prompt{
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

// watchingTransport notes every connection that broke under a request. A
// connection that could not be opened is none: nothing was sent.
type watchingTransport struct {
	next http.RoundTripper

	mu     sync.Mutex
	broken []string
}

var _ http.RoundTripper = (*watchingTransport)(nil)

// RoundTrip implements http.RoundTripper.
func (w *watchingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := w.next.RoundTrip(r)
	var opening *net.OpError
	if err != nil {
		if !errors.As(err, &opening) || opening.Op != "dial" {
			w.note(r, err)
		}
		return nil, err
	}
	response.Body = &watchedBody{
		ReadCloser: response.Body,
		request:    r,
		stream:     strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"),
		watch:      w,
	}
	return response, nil
}

func (w *watchingTransport) note(r *http.Request, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf("%s %s: %v", r.Method, r.URL, err))
}

func (w *watchingTransport) brokenOff() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken
}

// watchedBody is the body of a response. A stream has to end with an event that
// says so.
type watchedBody struct {
	io.ReadCloser
	request *http.Request
	stream  bool
	tail    []byte
	watch   *watchingTransport
}

// lastEvents are what the end of a stream is told by.
var lastEvents = []string{server.DataDone, "event: " + server.EventMoved, "event: " + server.EventError}

// tailBytes is enough for the last event of a stream.
const tailBytes = 2 << 10

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.stream {
		b.tail = append(b.tail, p[:n]...)
		b.tail = b.tail[max(0, len(b.tail)-tailBytes):]
	}
	switch {
	case errors.Is(err, io.EOF) && b.stream && !b.ended():
		b.watch.note(b.request, io.ErrUnexpectedEOF)
	case err != nil && !errors.Is(err, io.EOF):
		b.watch.note(b.request, err)
	}
	return n, err
}

func (b *watchedBody) ended() bool {
	for _, event := range lastEvents {
		if bytes.Contains(b.tail, []byte(event)) {
			return true
		}
	}
	return false
}
