package main

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/drainer"
	"github.com/dotterelhollow/dotterelhollow/internal/forwarder"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/logwriter"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/internal/runner"
	"github.com/dotterelhollow/dotterelhollow/internal/starter"
	"github.com/dotterelhollow/dotterelhollow/internal/tunneler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
	"github.com/dotterelhollow/dotterelhollow/platform"
)

const (
	// listInterval is the time between reads of the list of nodes. The list is
	// only needed to find peers that gossip has lost.
	listInterval = 20 * timekeeper.Second
	// memoryLimitFraction is the garbage collector's soft limit as a fraction of
	// the memory that the process may use.
	memoryLimitFraction = 0.7
	megabyte            = 1 << 20
	// endMargin is the time before the end of a planned stop at which the requests in flight are
	// ended, so that their callers still get an answer. It is at most one endMarginShare-th of
	// the stop: servers may work on until its last sixth.
	endMargin      = 500 * timekeeper.Millisecond
	endMarginShare = 8
)

// gateway is the process of a node that forwards opaque exchanges.
type gateway struct {
	path      string
	settings  *starter.Settings
	logger    hclog.Logger
	clock     timekeeper.Clock
	runner    *runner.Runner
	forwarder *forwarder.Forwarder
	metrics   *forwarder.Metrics
	ports     []*port
	closers   []func()
}

// serveGateway runs a gateway node until it is stopped.
func serveGateway(path string, s *starter.Settings) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * s.Gateway.MemoryLimitMB * megabyte))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	lines := logwriter.New(os.Stdout)
	go lines.Run(ctx)
	defer func() {
		cancel()
		<-lines.Done()
	}()
	g := newGateway(path, s, lines)
	expvar.Publish("dotterelhollow", g.runner.Metrics().Var())
	expvar.Publish("exchanges", g.metrics.Var())
	expvar.Publish("server_factors", expvar.Func(func() any { return g.runner.ServerFactors(ctx) }))
	expvar.Publish("rollouts", expvar.Func(func() any { return g.runner.Rollouts(ctx) }))
	return g.serve(ctx, signals)
}

func newGateway(path string, s *starter.Settings, log io.Writer) *gateway {
	g := &gateway{
		path:     path,
		settings: s,
		clock:    timekeeper.System{},
		logger: hclog.New(&hclog.LoggerOptions{
			Name:       "dotterelhollow",
			Level:      hclog.LevelFromString(s.LogLevel),
			Output:     log,
			JSONFormat: true,
		}).With("node", s.VM),
	}
	timeline := historian.New(historian.Config{
		Self:     s.VM,
		Clock:    g.clock,
		Capacity: s.TimelineCapacity,
	})
	store := g.newStore()
	cloud := platform.NewCloud(platform.CloudConfig{
		Address: s.Gateway.CloudAddress.String(),
		Self:    s.VM,
		Logger:  g.logger,
	})
	streams := platform.NewStreamMover()
	peers := relayer.NewClient(relayer.ClientConfig{
		Self:  s.VM,
		Now:   g.clock,
		Clock: timeline,
	})
	incarnation := identifier.Incarnation(g.clock.Now())
	seed := xxhash.Sum64String(string(s.VM)) ^ uint64(incarnation)
	g.runner = runner.New(runner.Config{
		Self:           s.VM,
		Incarnation:    incarnation,
		Zone:           s.Zone,
		CallerAddress:  s.Caller.Advertised.String(),
		Seed:           seed,
		Reducer:        reducer.New(g.reducerConfig(incarnation, seed)),
		Clock:          g.clock,
		Historian:      timeline,
		Logger:         g.logger,
		Log:            store,
		Lister:         store,
		Store:          store,
		Rollouts:       store,
		LeaderTasks:    cloud,
		StreamMover:    streams,
		Peers:          peers,
		CloseListeners: g.closeCallers,
		Limits:         runner.Limits{ListInterval: listInterval},
		// The streams of refused requests and of origins are read once, without waiting for newer
		// records.
		LowLatencyStreams: []identifier.LogStream{leaser.Stream, quarantiner.Stream, resumer.Stream},
	})
	g.metrics = forwarder.NewMetrics()
	g.forwarder = forwarder.New(forwarder.Config{
		Self:       s.VM,
		Decider:    g.runner,
		Protocol:   platform.Protocol{},
		Clock:      g.clock,
		Logger:     g.logger,
		Metrics:    g.metrics,
		MaxBody:    g.runner.MaxBody,
		StatusPath: platform.ServerStatusPath,
	})
	g.closers = []func(){store.Close, cloud.Close, streams.Close, peers.Close, g.forwarder.Close}
	g.ports = g.newPorts(timeline)
	return g
}

func (g *gateway) newStore() *platform.Store {
	s := g.settings
	return platform.NewStore(platform.StoreConfig{
		Address:     s.Platform.String(),
		Self:        s.VM,
		Zone:        s.Zone,
		PeerAddress: s.Peer.Advertised.String(),
		Snapshots:   []identifier.LogStream{quarantiner.Stream},
		Clock:       g.clock,
		Logger:      g.logger,
	})
}

func (g *gateway) reducerConfig(incarnation identifier.Incarnation, seed uint64) reducer.Config {
	s := g.settings
	seeds := make([]string, 0, len(s.Gateway.Seeds))
	for _, a := range s.Gateway.Seeds {
		seeds = append(seeds, a.String())
	}
	return reducer.Config{
		Self:          s.VM,
		Incarnation:   incarnation,
		Zone:          s.Zone,
		Region:        s.Region,
		PeerAddress:   s.Peer.Advertised.String(),
		CallerAddress: s.Caller.Advertised.String(),
		Capacity:      capacity(s.Gateway),
		Seed:          seed,
		Seeds:         seeds,
		LogRetention:  s.Gateway.LogRetention,
		Safeguards:    conductor.AllSafeguards(),
		Gateway: &reducer.GatewayConfig{
			LeaderTasks: s.Gateway.CloudAddress.IsValid(),
			UsageWindow: s.Gateway.UsageWindow,
			UsageLate:   s.Gateway.MaxUsageDelay,
			Share:       s.Gateway.ExposureShare,
			Slack:       s.Gateway.ExposureSlack,
			LimitWindow: s.Gateway.LimitWindow,
			MoveStreams: s.Gateway.MoveStreams,
			ServerDrain: s.Gateway.ServerDrain,
			SharedRates: s.Gateway.SharedRates,
			Admission:   s.Gateway.Admission,
			FairShares:  s.Gateway.FairShares,
		},
	}
}

// capacity returns the capacity of a VM in thousandths of a core: the minimum of
// its processor's and its link's. Forwarding 0.25 Mbit/s uses a thousandth of a
// core.
func capacity(g *starter.Gateway) uint32 {
	const mbpsPerMillicore = 0.25
	return uint32(min(g.CPUCores*1000, g.LinkMbps/mbpsPerMillicore))
}

// newPorts returns the node's ports. The caller port must be first:
// closeCallers closes it before the others.
func (g *gateway) newPorts(timeline *historian.Historian) []*port {
	s := g.settings
	callers := g.forwarder.Server()
	return []*port{
		{
			name:    "caller",
			address: s.Caller.Listen,
			server:  callers,
			drainer: drainer.New(drainer.Config{Server: callers}),
		},
		{
			name:    "peer",
			address: s.Peer.Listen,
			server: &http.Server{
				Handler: tunneler.NewHandler(tunneler.HandlerConfig{
					Admitter: g.runner,
					Logger:   g.logger,
					Next: relayer.NewHandler(relayer.HandlerConfig{
						Self:  s.VM,
						Peer:  g.runner,
						Now:   g.clock,
						Clock: timeline,
					}),
				}),
				ReadHeaderTimeout: peerHeaderTimeout,
				IdleTimeout:       peerIdleTimeout,
				MaxHeaderBytes:    peerMaxHeader,
			},
		},
		{
			name:    "directory",
			address: s.Gateway.Directory.Listen,
			server:  platform.NewServer(platform.NewDirectory(g.runner)),
		},
		{
			name:    "readiness",
			address: s.Gateway.Readiness.Listen,
			server:  platform.NewServer(platform.NewReadiness(g.runner)),
		},
		{
			name:    "metrics",
			address: s.Gateway.Metrics.Listen,
			server:  platform.NewServer(expvar.Handler()),
		},
	}
}

// serve runs the node until a planned stop completes, a second stop signal
// arrives, or a port fails.
func (g *gateway) serve(ctx context.Context, signals <-chan os.Signal) error {
	p := &process{
		ports:   g.ports,
		run:     g.runner.Run,
		watch:   func(ctx context.Context, stop func()) { g.watch(ctx, signals, stop) },
		closers: g.closers,
	}
	if err := p.listen(); err != nil {
		return err
	}
	g.logger.Info("started", "pid", os.Getpid(), "caller", g.settings.Caller.Listen.String())
	failed := p.serve(ctx)
	g.logger.Info("stopped")
	return failed
}

// watch handles signals: SIGHUP reloads the settings, the first stop signal
// begins a planned stop, and the second stops immediately.
func (g *gateway) watch(ctx context.Context, signals <-chan os.Signal, stop func()) {
	stopping := false
	var ending <-chan time.Time
	for {
		var s os.Signal
		select {
		case s = <-signals:
		case <-ending:
			g.forwarder.End()
			continue
		case <-ctx.Done():
			return
		}
		g.logger.Info("signal received", "signal", s.String())
		switch {
		case s == syscall.SIGHUP:
			g.reload()
		case stopping:
			stop()
			return
		default:
			stopping = true
			g.forwarder.Leave()
			ending = time.After(endTime(g.settings.DrainTime).Std())
			g.runner.Drain(g.clock.Now().Add(g.settings.DrainTime))
		}
	}
}

// endTime returns the time after the signal at which the requests in flight are ended, in a planned
// stop that may take drainTime.
func endTime(drainTime timekeeper.Duration) timekeeper.Duration {
	return drainTime - min(endMargin, drainTime/endMarginShare)
}

// reload reads the settings file again. Only the log level can change while the
// process runs. If the file has a fault, the current settings stay in force.
func (g *gateway) reload() {
	s, err := starter.Load(g.path)
	if err != nil {
		g.logger.Error("settings not reloaded, previous settings stay in force", "error", err)
		return
	}
	g.logger.SetLevel(hclog.LevelFromString(s.LogLevel))
	g.logger.Info("settings reloaded", "log_level", s.LogLevel)
}

// closeCallers closes the caller port, which is the first, once the requests that were
// read are answered.
func (g *gateway) closeCallers(ctx context.Context) { g.ports[0].drainer.Drain(ctx) }
