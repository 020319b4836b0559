package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"

	"github.com/dotterelhollow/dotterelhollow/internal/drainer"
)

// process runs a node of either kind: a server on each port, the node's main
// loop, and a signal handler. It ends when the main loop returns.
type process struct {
	ports []*port
	// run is the node's main loop. It returns when ctx ends or a planned stop
	// completes.
	run func(ctx context.Context)
	// watch handles signals until ctx ends, and calls stop for an immediate stop.
	watch func(ctx context.Context, stop func())
	// closers close the connections that remain at the end.
	closers []func()
}

// port is a listening port with its server.
type port struct {
	name    string
	address netip.AddrPort
	server  *http.Server
	// drainer ends the connections in a planned stop. If it is nil, the end of the process cuts them.
	drainer  *drainer.Drainer
	listener net.Listener
}

// listen opens all ports. If one fails, it closes those already open.
func (p *process) listen() error {
	for i, opened := range p.ports {
		l, err := listen(opened.name, opened.address)
		if err != nil {
			for _, previous := range p.ports[:i] {
				_ = previous.listener.Close()
			}
			return err
		}
		if opened.drainer != nil {
			l = opened.drainer.Listen(l)
		}
		opened.listener = l
	}
	return nil
}

// serve runs the process until its main loop returns or a port fails. The ports
// must be open.
func (p *process) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error)
	start := func(work func() error) { go func() { ended <- work() }() }
	for _, opened := range p.ports {
		start(func() error { return servePort(opened.name, opened.server, opened.listener) })
	}
	start(func() error {
		p.watch(ctx, cancel)
		return nil
	})
	start(func() error {
		p.run(ctx)
		cancel()
		for _, opened := range p.ports {
			_ = opened.server.Close()
		}
		return nil
	})
	var failed error
	for range len(p.ports) + 2 {
		if err := <-ended; err != nil {
			failed = errors.Join(failed, err)
			cancel()
		}
	}
	for _, closeIdle := range p.closers {
		closeIdle()
	}
	return failed
}

func listen(name string, address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &listenError{
			port:  name,
			cause: err,
		}
	}
	return l, nil
}

func servePort(name string, s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &portError{
		port:  name,
		cause: err,
	}
}
