package logwriter_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/logwriter"
)

// Writes must not block while the log is not read, and the number of dropped
// lines must be logged once it is.
func TestNeverBlocks(t *testing.T) {
	r, out := io.Pipe()
	w := logwriter.New(out)
	ctx, cancel := context.WithCancel(t.Context())
	go w.Run(ctx)
	const lines = 10_000
	for i := range lines {
		n, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
		require.Positive(t, n)
	}
	read := make(chan string)
	go func() {
		all, _ := io.ReadAll(r)
		read <- string(all)
	}()
	cancel()
	<-w.Done()
	require.NoError(t, out.Close())
	text := <-read
	require.Contains(t, text, "log lines dropped")
	require.Less(t, strings.Count(text, "line "), lines)
}

func TestKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	w := logwriter.New(&out)
	for i := range 5 {
		_, err := fmt.Fprintln(w, i)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w.Run(ctx)
	require.Equal(t, "0\n1\n2\n3\n4\n", out.String())
}
