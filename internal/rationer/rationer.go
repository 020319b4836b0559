// Package rationer bounds the long messages that are held in memory at once.
//
// Messages of peers and of the platform are read whole before they are decoded. Nearly all of
// them are short. A sender in trouble may send bytes without end, and many senders at once,
// so only a few messages may grow long while the others wait.
package rationer

import (
	"context"
	"io"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Config configures a Rationer.
type Config struct {
	// Short is the size up to which a message is read at once.
	Short identifier.Bytes
	// Long is the number of longer messages that are read at the same time.
	Long int
}

// Rationer rations the reading of long messages. It is safe for concurrent use.
type Rationer struct {
	short identifier.Bytes
	long  chan struct{}
}

// New returns a Rationer that holds no message.
func New(c Config) *Rationer {
	return &Rationer{
		short: c.Short,
		long:  make(chan struct{}, c.Long),
	}
}

// Body returns a body that waits before it becomes long, until it may or ctx ends. It counts
// until it has been read to its end, fails or is closed.
func (r *Rationer) Body(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	return &rationedBody{
		ReadCloser: body,
		ctx:        ctx,
		rationer:   r,
	}
}

type rationedBody struct {
	io.ReadCloser
	ctx      context.Context
	rationer *Rationer
	read     identifier.Bytes
	long     bool
}

var _ io.ReadCloser = (*rationedBody)(nil)

// Read implements io.Reader.
func (b *rationedBody) Read(p []byte) (int, error) {
	rest := b.rationer.short - b.read
	switch {
	case b.long:
	case rest > 0:
		p = p[:min(len(p), int(rest))]
	default:
		select {
		case b.rationer.long <- struct{}{}:
			b.long = true
		case <-b.ctx.Done():
			return 0, context.Cause(b.ctx)
		}
	}
	n, err := b.ReadCloser.Read(p)
	b.read += identifier.Bytes(n)
	if err != nil {
		b.release()
	}
	return n, err
}

// Close implements io.Closer.
func (b *rationedBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}

func (b *rationedBody) release() {
	if b.long {
		b.long = false
		<-b.rationer.long
	}
}
