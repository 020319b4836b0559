package main

import (
	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/engine"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/hoster"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/platform"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/responder"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var (
	_ flags.Commander   = (*platformCommand)(nil)
	_ flags.Commander   = (*engineCommand)(nil)
	_ flags.Commander   = (*plainCommand)(nil)
	_ flags.Commander   = (*poolCommand)(nil)
	_ flags.Unmarshaler = (*duration)(nil)
	_ flags.Unmarshaler = (*group)(nil)
)

type platformCommand struct {
	listen
	Retention   duration `long:"retention" default:"1h" description:"How long the log keeps a record"`
	AppendRate  float64  `long:"append-rate" default:"300" description:"Appends a second that the log takes"`
	ListLag     duration `long:"list-lag" default:"2s" description:"How old the VM list is"`
	WeightBytes int64    `long:"weight-bytes" default:"8388608" description:"Size of a model's weights"`
	WeightRate  int64    `long:"weight-rate" default:"67108864" description:"Bytes a second of the weight store"`
}

// Execute runs the platform stand-in until a signal.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	p := platform.New(platform.Config{
		Retention:   timekeeper.Duration(c.Retention),
		AppendRate:  c.AppendRate,
		ListLag:     timekeeper.Duration(c.ListLag),
		WeightBytes: c.WeightBytes,
		WeightRate:  c.WeightRate,
	})
	return c.serve(ctx, "platform", p, p.Gate)
}

type engineCommand struct {
	listen
	VM               string   `long:"vm" required:"true" description:"Name of the VM"`
	Zone             string   `long:"zone" description:"Availability zone"`
	Pool             string   `long:"pool" description:"Pool of backend servers"`
	Model            string   `long:"model" required:"true" description:"Model that is loaded"`
	Slots            int      `long:"slots" default:"8" description:"Streams that run at once"`
	TokensPerSecond  float64  `long:"tokens-per-second" default:"40" description:"Pace of a stream that runs alone"`
	PrefillPerSecond float64  `long:"prefill-per-second" default:"4000" description:"Prompt tokens read in a second"`
	KVTokens         int64    `long:"kv-tokens" default:"65536" description:"Size of the KV cache"`
	ChecksFence      bool     `long:"checks-fence" description:"Refuse orders with an old fencing number"`
	LoadLag          duration `long:"load-lag" default:"500ms" description:"How old load reports are"`
	CacheLag         duration `long:"cache-lag" default:"500ms" description:"How late cache events come"`
	WeightAddress    string   `long:"weights" value-name:"HOST:PORT" description:"Weight store to load models from"`
}

// Execute runs the engine stand-in until a signal.
func (c *engineCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	e := engine.New(engine.Config{
		VM:               identifier.VMID(c.VM),
		Zone:             identifier.Zone(c.Zone),
		Pool:             identifier.PoolName(c.Pool),
		Model:            identifier.ModelName(c.Model),
		Slots:            c.Slots,
		TokensPerSecond:  c.TokensPerSecond,
		PrefillPerSecond: c.PrefillPerSecond,
		KVTokens:         identifier.Tokens(c.KVTokens),
		ChecksFence:      c.ChecksFence,
		LoadLag:          timekeeper.Duration(c.LoadLag),
		CacheLag:         timekeeper.Duration(c.CacheLag),
		WeightAddress:    c.WeightAddress,
	})
	return c.serve(ctx, "engine", e, e.Gate)
}

type plainCommand struct {
	listen
	VM    string `long:"vm" required:"true" description:"Name of the VM"`
	Pool  string `long:"pool" description:"Pool of backend servers"`
	Slots int    `long:"slots" default:"64" description:"Calls that run at once"`
}

// Execute runs the plain server stand-in until a signal.
func (c *plainCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	p := responder.New(responder.Config{
		VM:    identifier.VMID(c.VM),
		Pool:  identifier.PoolName(c.Pool),
		Slots: c.Slots,
	})
	return c.serve(ctx, "plain", p, p.Gate)
}

// group is a flag value such as "pool=reading,count=3".
type group hoster.Group

// UnmarshalFlag parses a group.
func (g *group) UnmarshalFlag(text string) error {
	parsed, err := hoster.ParseGroup(text)
	*g = group(parsed)
	return err
}

type poolCommand struct {
	listen
	Platform  string   `long:"platform" value-name:"HOST:PORT" required:"true" description:"Address of the platform"`
	Zones     []string `long:"zone" required:"true" description:"Availability zone; give one for each"`
	Groups    []group  `long:"group" required:"true" value-name:"KEY=VALUE,..." description:"Pool to host: pool, kind (model or plain), class, model, count, on_demand, slots, max_waiting, cache_blocks, tokens_per_second, prefill_per_second, kv_tokens, kv_bytes_per_token, transfer_rate, checks_fence, load_lag, cache_lag"`
	Host      string   `long:"host" default:"127.0.0.1" description:"IP number to listen on"`
	FirstPort int      `long:"first-port" default:"0" description:"Port of the first VM, the others follow; 0 takes free ones"`
	Boot      duration `long:"boot" default:"1s" description:"Time from a purchase until the VM listens"`
}

// Execute hosts the pools until a signal.
func (c *poolCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	h := hoster.New(c.config())
	if err := h.Start(ctx); err != nil {
		return err
	}
	return c.serve(ctx, "pool", h, standin.NewGate())
}

func (c *poolCommand) config() hoster.Config {
	config := hoster.Config{
		PlatformAddress: c.Platform,
		Host:            c.Host,
		FirstPort:       c.FirstPort,
		BootTime:        timekeeper.Duration(c.Boot),
	}
	for _, z := range c.Zones {
		config.Zones = append(config.Zones, identifier.Zone(z))
	}
	for _, g := range c.Groups {
		config.Groups = append(config.Groups, hoster.Group(g))
	}
	return config
}
