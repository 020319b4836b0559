package main

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/drainer"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/internal/runner"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/internal/starter"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var (
	_ flags.Commander = (*serveCommand)(nil)
	_ error           = (*listenError)(nil)
	_ error           = (*portError)(nil)
)

// claimPartitions is the number of log streams that carry claims. It must be
// equal on all nodes.
const claimPartitions = 4

// gcPercent makes the garbage collector run more often than Go's default of 100:
// a node is limited to 32 MB, mostly used by the program itself, but has spare
// processor time.
const gcPercent = 40

// Limits of connections from peers.
const (
	peerHeaderTimeout = 5 * time.Second
	peerIdleTimeout   = 30 * time.Second
	// peerMaxHeader bounds the head of a call in bytes. It has a path and a few short headers.
	peerMaxHeader = 16 << 10
)

// serveCommand runs a node.
type serveCommand struct {
	Settings flags.Filename `long:"settings" env:"DOTTERELHOLLOW_CONFIG" value-name:"PATH" required:"yes" description:"Folder of the node's own INI files, or one such file"`
}

func addServeCommand(p *flags.Parser) error {
	_, err := p.AddCommand("serve", "Run a node",
		"Checks all settings, then opens the ports. SIGTERM begins a planned stop: no request in flight is cut, and"+
			" the process ends once each has ended or has a successor. A second signal stops at once."+exitHelp,
		&serveCommand{})
	return err
}

// listenError reports that the port of the given name could not be opened.
type listenError struct {
	port  string
	cause error
}

func (e *listenError) Error() string { return fmt.Sprintf("%s port: %v", e.port, e.cause) }

func (e *listenError) Unwrap() error { return e.cause }

// portError reports that the port of the given name closed unexpectedly.
type portError struct {
	port  string
	cause error
}

func (e *portError) Error() string { return fmt.Sprintf("%s port closed: %v", e.port, e.cause) }

func (e *portError) Unwrap() error { return e.cause }

// Execute loads the settings and runs the node until it is stopped.
func (c *serveCommand) Execute([]string) error {
	settings, err := starter.Load(string(c.Settings))
	if err != nil {
		return err
	}
	if settings.Gateway != nil {
		return serveGateway(string(c.Settings), settings)
	}
	node, err := newNode(settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return node.serve(context.Background(), signals)
}

// node is the process of a node: its runner, and a server on each port.
type node struct {
	settings *starter.Settings
	logger   hclog.Logger
	clock    timekeeper.Clock
	runner   *runner.Runner
	// ports are those for callers and for peers.
	ports   []*port
	closers []func()
}

// newNode builds a node from checked settings. It opens no ports.
func newNode(s *starter.Settings) (*node, error) {
	clock := timekeeper.System{}
	n := &node{
		settings: s,
		clock:    clock,
		logger: hclog.New(&hclog.LoggerOptions{
			Name:       "dotterelhollow",
			Level:      hclog.LevelFromString(s.LogLevel),
			Output:     os.Stderr,
			JSONFormat: true,
		}).With("node", s.VM),
	}
	timeline := historian.New(historian.Config{
		Self:     s.VM,
		Clock:    clock,
		Capacity: s.TimelineCapacity,
	})
	n.runner = runner.New(n.runnerConfig(timeline))
	front, err := server.New(server.Config{
		Backend: n.runner,
		Logger:  n.logger,
		Clock:   clock,
	})
	if err != nil {
		return nil, err
	}
	callers := front.HTTPServer()
	peers := &http.Server{
		Handler: relayer.NewHandler(relayer.HandlerConfig{
			Self:  s.VM,
			Peer:  n.runner,
			Now:   clock,
			Clock: timeline,
		}),
		ReadHeaderTimeout: peerHeaderTimeout,
		IdleTimeout:       peerIdleTimeout,
		MaxHeaderBytes:    peerMaxHeader,
		ErrorLog:          n.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	n.ports = []*port{
		{
			name:    "caller",
			address: s.Caller.Listen,
			server:  callers,
			drainer: drainer.New(drainer.Config{Server: callers}),
		},
		{
			name:    "peer",
			address: s.Peer.Listen,
			server:  peers,
			drainer: drainer.New(drainer.Config{Server: peers}),
		},
	}
	return n, nil
}

func (n *node) runnerConfig(timeline *historian.Historian) runner.Config {
	s := n.settings
	incarnation := identifier.Incarnation(n.clock.Now())
	seed := xxhash.Sum64String(string(s.VM)) ^ uint64(incarnation)
	platform := adapter.PlatformConfig{
		Address: s.Platform.String(),
		Clock:   n.clock,
	}
	servers := adapter.ServerConfig{Clock: n.clock}
	log := adapter.NewLog(platform)
	lister := adapter.NewLister(platform)
	cloud := adapter.NewCloud(platform)
	engines := adapter.NewEngine(servers)
	plain := adapter.NewPlain(servers)
	peers := relayer.NewClient(relayer.ClientConfig{
		Self:  s.VM,
		Now:   n.clock,
		Clock: timeline,
	})
	n.closers = []func(){log.Close, lister.Close, cloud.Close, engines.Close, plain.Close, peers.Close}
	return runner.Config{
		Self:              s.VM,
		Incarnation:       incarnation,
		Zone:              s.Zone,
		CallerAddress:     s.Caller.Advertised.String(),
		OperatorKeyHashes: s.OperatorKeyHashes,
		Seed:              seed,
		Reducer: reducer.New(reducer.Config{
			Self:          s.VM,
			Incarnation:   incarnation,
			Zone:          s.Zone,
			Region:        s.Region,
			PeerAddress:   s.Peer.Advertised.String(),
			CallerAddress: s.Caller.Advertised.String(),
			Seed:          seed,
			Partitions:    claimPartitions,
			Safeguards:    conductor.AllSafeguards(),
		}),
		Clock:          n.clock,
		Historian:      timeline,
		Logger:         n.logger,
		Log:            log,
		Lister:         lister,
		Cloud:          cloud,
		Engines:        engines,
		PlainServers:   plain,
		Peers:          peers,
		CloseListeners: n.closePorts,
	}
}

// serve runs the node until a planned stop completes, a second signal arrives,
// or a port fails.
func (n *node) serve(ctx context.Context, signals <-chan os.Signal) error {
	p := &process{
		ports:   n.ports,
		run:     n.runner.Run,
		watch:   func(ctx context.Context, stop func()) { n.watch(ctx, signals, stop) },
		closers: n.closers,
	}
	if err := p.listen(); err != nil {
		return err
	}
	n.logger.Info("listening",
		"caller", p.ports[0].listener.Addr().String(), "peer", p.ports[1].listener.Addr().String())
	expvar.Publish("dotterelhollow", n.runner.Metrics().Var())
	failed := p.serve(ctx)
	n.logger.Info("stopped")
	return failed
}

// watch begins a planned stop at the first signal and stops immediately at the
// second.
func (n *node) watch(ctx context.Context, signals <-chan os.Signal, stop func()) {
	for received := 0; ; received++ {
		select {
		case s := <-signals:
			n.logger.Info("signal received", "signal", s.String())
		case <-ctx.Done():
			return
		}
		if received > 0 {
			stop()
			return
		}
		n.runner.Drain(n.clock.Now().Add(n.settings.DrainTime))
	}
}

// closePorts closes both ports, each once the requests that were read are answered.
func (n *node) closePorts(ctx context.Context) {
	for _, p := range n.ports {
		p.drainer.Drain(ctx)
	}
}
