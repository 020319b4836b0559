package rehearser

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay forwards TCP connections to one address. It can blackhole the open connections,
// as a middlebox that loses its state does: they stay open without data, while new ones
// work.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[net.Conn]bool
	// blackholed is closed to blackhole the connections that are open.
	blackholed chan struct{}
	work       sync.WaitGroup
}

// startRelay starts a relay to target until the test ends.
func startRelay(t *testing.T, listen, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &relay{
		listener:   l,
		target:     target,
		conns:      make(map[net.Conn]bool),
		blackholed: make(chan struct{}),
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

// blackholeConnections blackholes the open connections and returns their number.
func (r *relay) blackholeConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.blackholed)
	r.blackholed = make(chan struct{})
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
		r.connect(ctx, near, far)
	}
}

func (r *relay) connect(ctx context.Context, near, far net.Conn) {
	r.mu.Lock()
	blackholed := r.blackholed
	r.conns[near] = true
	r.conns[far] = true
	r.mu.Unlock()
	r.work.Go(func() { r.copy(ctx, far, near, blackholed) })
	r.work.Go(func() { r.copy(ctx, near, far, blackholed) })
}

// copy forwards bytes until either end closes. After the connection is blackholed it
// drops everything, including the close, so that neither end notices.
func (r *relay) copy(ctx context.Context, to, from net.Conn, blackholed <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-blackholed:
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
