package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
)

// process is what both kinds of node run: a server on each port, the node's own
// work, and a watch over signals. It ends with the work.
type process struct {
	ports []*port
	// run does the node's work until ctx ends or a planned stop is over.
	run func(ctx context.Context)
	// watch carries out signals until ctx ends, and calls stop to end at once.
	watch func(ctx context.Context, stop func())
	// closers close connections that are left at the end.
	closers []func()
}

// port is one port and what serves it.
type port struct {
	name     string
	address  netip.AddrPort
	server   *http.Server
	listener net.Listener
}

// listen opens all ports, or none.
func (p *process) listen() error {
	for i, opened := range p.ports {
		l, err := listen(opened.name, opened.address)
		if err != nil {
			for _, before := range p.ports[:i] {
				_ = before.listener.Close()
			}
			return err
		}
		opened.listener = l
	}
	return nil
}

// serve runs the process, whose ports are open, until its work ends or a port
// fails.
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
