// Command dotterelhollow-load generates load on nodes that run on loopback
// addresses and checks every answer. See docs/LOAD.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/ulid/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/loader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxProcessors limits GOMAXPROCS, as the load generator shares its machine with
// the nodes.
const maxProcessors = 4

// Exit codes.
const (
	exitViolation = 1
	exitUsage     = 2
	exitFailed    = 3
)

type options struct {
	Nodes      []string `long:"node" value-name:"HOST:PORT" required:"true" description:"caller address of a node, on loopback; give several"`
	Pool       string   `long:"pool" value-name:"HOST:PORT" description:"address of the stand-in of the backend servers, whose ledgers tell what ran"`
	Folder     string   `long:"folder" value-name:"DIR" required:"true" description:"settings of the deployment that are in force"`
	Deployment string   `long:"deployment" required:"true" choice:"quillmark" choice:"cooperative" description:"whose work is sent"`
	Window     duration `long:"window" default:"40s" description:"how long requests arrive"`
	Drain      duration `long:"drain" default:"90s" description:"how long those on their way are waited for afterwards"`
	Requests   int      `long:"requests" default:"5000" description:"bound on the requests of the run"`
	InFlight   int      `long:"in-flight" default:"1000" description:"bound on the requests on their way at once"`
	PlainRate  float64  `long:"plain-rate" default:"1" description:"factor to the rates of the deployment's lookups"`
	ModelRate  float64  `long:"model-rate" default:"0.2" description:"factor to the rates of the deployment's prompts"`
	LongAnswer float64  `long:"long-answer" default:"0.3" description:"factor to the length of long answers"`
	Seed       uint64   `long:"seed" default:"1" description:"seed of the arrivals"`
	KeyPrefix  string   `long:"key-prefix" default:"demo-" description:"what stands before an account's name in its key"`
	JSON       bool     `long:"json" description:"print one line of JSON instead of tables"`
	JSONFile   string   `long:"json-file" value-name:"FILE" description:"also write the JSON there"`
}

var _ flags.Unmarshaler = (*duration)(nil)

// duration is a flag value such as "40s".
type duration timekeeper.Duration

// UnmarshalFlag parses a duration.
func (d *duration) UnmarshalFlag(text string) error {
	parsed, err := timekeeper.ParseDuration(text)
	*d = duration(parsed)
	return err
}

// folderError reports a folder whose configuration has faults.
type folderError struct {
	folder string
	faults []configurer.Fault
}

func (e *folderError) Error() string {
	return fmt.Sprintf("%s: %d faults, first: %s", e.folder, len(e.faults), e.faults[0])
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	runtime.GOMAXPROCS(min(maxProcessors, runtime.GOMAXPROCS(0)))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	if !report.Passed() {
		os.Exit(exitViolation)
	}
}

func load(ctx context.Context, o options) (loader.Report, error) {
	c, err := readCatalog(o.Folder)
	if err != nil {
		return loader.Report{}, err
	}
	mix, err := loader.NewMix(o.Deployment, c, loader.Scale{
		Plain:      o.PlainRate,
		Model:      o.ModelRate,
		LongAnswer: o.LongAnswer,
	})
	if err != nil {
		return loader.Report{}, err
	}
	keys := make(map[identifier.AccountID]string)
	for _, a := range mix.Accounts {
		keys[a.ID] = o.KeyPrefix + string(a.ID)
	}
	report, err := loader.Run(ctx, loader.Config{
		Nodes:       o.Nodes,
		PoolAddress: o.Pool,
		Catalog:     c,
		Mix:         mix,
		Keys:        keys,
		Seed:        o.Seed,
		RunName:     "load-" + ulid.Make().String(),
		Window:      timekeeper.Duration(o.Window),
		Drain:       timekeeper.Duration(o.Drain),
		MaxRequests: o.Requests,
		MaxInFlight: o.InFlight,
	})
	return report, errors.Join(err, write(report, o))
}

func write(report loader.Report, o options) error {
	if o.JSONFile != "" {
		if err := writeFile(report, o.JSONFile); err != nil {
			return err
		}
	}
	if o.JSON {
		return report.WriteJSON(os.Stdout)
	}
	return report.WriteText(os.Stdout)
}

func writeFile(report loader.Report, name string) error {
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	if err := errors.Join(report.WriteJSON(file), file.Close()); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	return nil
}

func readCatalog(folder string) (*catalog.Catalog, error) {
	files, err := folderreader.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("read the folder: %w", err)
	}
	c, faults := configurer.Check(files)
	if len(faults) > 0 {
		return nil, &folderError{
			folder: folder,
			faults: faults,
		}
	}
	return c, nil
}
