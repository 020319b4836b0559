package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// panickingDecider panics when it takes the first decision, or the second.
type panickingDecider struct {
	*fakeDecider
	first bool
}

func (d *panickingDecider) Receive(ctx context.Context, spec messenger.ExchangeSpec) messenger.Effect {
	if d.first {
		panic("first decision")
	}
	return d.fakeDecider.Receive(ctx, spec)
}

func (*panickingDecider) AttemptEnded(context.Context, messenger.ExchangeAttemptEnded) messenger.Effect {
	panic("second decision")
}

// Guards against connections that a panic closes without an answer, and exchanges that never end.
func TestPanicIsAnswered(t *testing.T) {
	failing := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	})
	tests := []struct {
		name  string
		first bool
		want  int
		again bool
	}{
		{
			name:  "before anything is sent",
			first: true,
			want:  http.StatusServiceUnavailable,
			again: true,
		},
		{
			name: "after the request may have run",
			want: http.StatusBadGateway,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := &panickingDecider{
				fakeDecider: newFakeDecider(failing),
				first:       test.first,
			}
			answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarderOf(t, d, nil)+"/", nil))
			require.NoError(t, answer.err)
			require.Equal(t, test.want, answer.status)
			require.Equal(t, test.again, answer.header.Get("Again") != "")
			<-d.ended
		})
	}
}

// Guards against streams that look complete after a panic.
func TestPanicWithinStreamAborts(t *testing.T) {
	broken := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	d := &panickingDecider{fakeDecider: newFakeDecider(broken)}
	d.route.Stream = true
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarderOf(t, d, nil)+"/", nil))
	require.Equal(t, "id: 1\ndata: a\n\n", answer.body)
	require.Error(t, answer.err)
	<-d.ended
}
