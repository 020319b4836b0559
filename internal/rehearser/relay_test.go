package rehearser

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay hands TCP connections on to one address. Told to, it loses track of
// those that are open, as a box on the way does: they stay open and silent,
// while new ones work.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[net.Conn]bool
	// lost closes when the connections that are open now go silent.
	lost chan struct{}
	work sync.WaitGroup
}

// startRelay opens a relay to target until the test ends.
func startRelay(t *testing.T, listen, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &relay{
		listener: l,
		target:   target,
		conns:    make(map[net.Conn]bool),
		lost:     make(chan struct{}),
	}
	r.work.Go(func() { r.accept(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		r.closeAll()
		r.work.Wait()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// loseTrack makes the open connections silent and returns how many there are.
func (r *relay) loseTrack() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.lost)
	r.lost = make(chan struct{})
	return len(r.conns) / 2
}

func (r *relay) accept(ctx context.Context) {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.join(ctx, near, far)
	}
}

func (r *relay) join(ctx context.Context, near, far net.Conn) {
	r.mu.Lock()
	lost := r.lost
	r.conns[near] = true
	r.conns[far] = true
	r.mu.Unlock()
	r.work.Go(func() { r.copy(ctx, far, near, lost) })
	r.work.Go(func() { r.copy(ctx, near, far, lost) })
}

// copy hands bytes on until either end closes. Once the connection is lost it
// drops what comes, the news of its end included, so that neither end learns
// of the other any more.
func (r *relay) copy(ctx context.Context, to, from net.Conn, lost <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-lost:
			<-ctx.Done()
			return
		default:
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			r.drop(to, from)
			return
		}
	}
}

func (r *relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.conns, c)
	}
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}
