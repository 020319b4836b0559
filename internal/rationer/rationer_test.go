package rationer_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/rationer"
)

const short = 8

func newBody(ctx context.Context, r *rationer.Rationer, size int) io.ReadCloser {
	return r.Body(ctx, io.NopCloser(strings.NewReader(strings.Repeat("x", size))))
}

// Guards against many senders of long messages that exhaust the memory together.
func TestLongMessagesAreRationed(t *testing.T) {
	r := rationer.New(rationer.Config{
		Short: short,
		Long:  1,
	})
	first := newBody(t.Context(), r, 10*short)
	_, err := io.ReadFull(first, make([]byte, 9*short))
	require.NoError(t, err)

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	data, err := io.ReadAll(newBody(ended, r, short-1))
	require.NoError(t, err, "a short message waits for none")
	require.Len(t, data, short-1)
	_, err = io.ReadAll(newBody(ended, r, 10*short))
	require.ErrorIs(t, err, context.Canceled, "a second long message while the first is held")

	read := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(newBody(t.Context(), r, 10*short))
		read <- err
	}()
	require.NoError(t, first.Close())
	require.NoError(t, <-read, "the first message is no longer held")
}

// Guards against a message that counts for good, or is taken off twice, as it ends and is closed.
func TestEndedMessageCountsNoMore(t *testing.T) {
	r := rationer.New(rationer.Config{
		Short: short,
		Long:  1,
	})
	for range 3 {
		b := newBody(t.Context(), r, 10*short)
		_, err := io.ReadAll(b)
		require.NoError(t, err)
		require.NoError(t, b.Close())
		require.NoError(t, b.Close())
	}
}
