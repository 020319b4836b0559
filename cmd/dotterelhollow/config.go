package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

var (
	_ flags.Commander = (*configCheckCommand)(nil)
	_ flags.Commander = (*configShowCommand)(nil)
	_ flags.Commander = (*configHistoryCommand)(nil)
)

// configCommand groups the commands that work on the configuration.
type configCommand struct{}

func addConfigCommand(p *flags.Parser) error {
	group, err := p.AddCommand("config", "Check, apply and show the configuration",
		"Works on the operators' folder of INI files and on the configuration in force."+exitHelp, &configCommand{})
	if err != nil {
		return err
	}
	subcommands := []struct {
		name    string
		short   string
		long    string
		command any
	}{
		{
			name:    "check",
			short:   "Check a folder without any node",
			long:    "Reports every fault at once, each with file, section, key and what was expected." + exitHelp,
			command: &configCheckCommand{},
		},
		{
			name:  "apply",
			short: "Put a folder in force",
			long: "Sends the files that differ, each with the revision it was compared with, so that a change" +
				" made meanwhile by another operator is not overwritten." + exitHelp,
			command: &configApplyCommand{},
		},
		{
			name:  "restore",
			short: "Replace a configuration that was lost",
			long: "Puts a whole folder in force where no node and no record of the log has the configuration any more." +
				" While a node has it, the command is refused: change its files instead." + exitHelp,
			command: &configRestoreCommand{},
		},
		{
			name:    "show",
			short:   "Show the configuration in force",
			long:    "Prints each file with its revision." + exitHelp,
			command: &configShowCommand{},
		},
		{
			name:    "history",
			short:   "Show the changes that a node knows",
			long:    "Prints accepted and rejected changes, oldest first." + exitHelp,
			command: &configHistoryCommand{},
		},
	}
	for _, s := range subcommands {
		if _, err := group.AddCommand(s.name, s.short, s.long, s.command); err != nil {
			return err
		}
	}
	return nil
}

type configCheckCommand struct {
	JSON bool `long:"json" description:"Print JSON"`
	Args struct {
		Folder string `positional-arg-name:"DIR" required:"true" description:"Folder of INI files"`
	} `positional-args:"true"`
}

// checkReport is the JSON output of the command.
type checkReport struct {
	Files  int                `json:"files"`
	Faults []configurer.Fault `json:"faults"`
}

// Execute checks the folder and reports all faults.
func (c *configCheckCommand) Execute([]string) error {
	files, readErr := folderreader.ReadDir(c.Args.Folder)
	if readErr != nil && len(files) == 0 {
		return readErr
	}
	_, faults := configurer.Check(files)
	if c.JSON {
		report := checkReport{
			Files:  len(files),
			Faults: append([]configurer.Fault{}, faults...),
		}
		if err := writeJSON(os.Stdout, report); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return errors.Join(readErr, &folderreader.FaultsError{Faults: faults})
	}
	if readErr != nil {
		return readErr
	}
	if !c.JSON {
		fmt.Printf("%d files, no faults\n", len(files))
	}
	return nil
}

type configShowCommand struct {
	operatorFlags
	Args struct {
		File identifier.FileName `positional-arg-name:"FILE" description:"Only this file"`
	} `positional-args:"true"`
}

// Execute prints the files in force with their revisions.
func (c *configShowCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	view, _, err := c.client().config(ctx)
	if err != nil {
		return err
	}
	if c.Args.File != "" {
		view.Files = slices.DeleteFunc(view.Files, func(f server.ConfigFile) bool { return f.File != c.Args.File })
		if len(view.Files) == 0 {
			return &unknownFileError{
				file:     c.Args.File,
				revision: view.Revision,
			}
		}
	}
	if c.JSON {
		return writeJSON(os.Stdout, view)
	}
	fmt.Printf("# revision %d\n", view.Revision)
	for _, f := range view.Files {
		if f.Deleted {
			fmt.Printf("\n# %s was deleted at revision %d\n", f.File, f.Revision)
			continue
		}
		fmt.Printf("\n# %s at revision %d\n%s", f.File, f.Revision, f.Content)
	}
	return nil
}

// unknownFileError reports that the configuration has no such file. Without it a
// mistyped name would look like an empty file.
type unknownFileError struct {
	file     identifier.FileName
	revision identifier.Revision
}

var _ error = (*unknownFileError)(nil)

func (e *unknownFileError) Error() string {
	return fmt.Sprintf("the configuration has no file %q at revision %d", e.file, e.revision)
}

// config queries all given nodes and returns the configuration with the latest
// revision and the node that returned it.
func (c *operatorClient) config(ctx context.Context) (server.ConfigView, string, error) {
	var (
		latest nodeResponse[server.ConfigView]
		ok     bool
		failed []error
	)
	for _, a := range queryAll[server.ConfigView](ctx, c, c.nodes, get("/operator/v1/config", nil)) {
		switch {
		case a.err != nil:
			failed = append(failed, a.err)
		case !ok || a.value.Revision > latest.value.Revision:
			latest, ok = a, true
		}
	}
	if !ok {
		return server.ConfigView{}, "", errors.Join(failed...)
	}
	warn(failed)
	return latest.value, latest.node, nil
}

type configHistoryCommand struct {
	operatorFlags
}

// Execute prints the changes known to the first node that responds.
func (c *configHistoryCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	var history []configurer.Change
	if _, err := c.client().queryFirst(ctx, get("/operator/v1/config/history", nil), &history); err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(os.Stdout, history)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "OFFSET\tTIME\tFILE\tCHANGE\tVERDICT")
	for _, change := range history {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", change.Offset, change.Appended,
			cmp.Or(change.File, "all files"), changeKind(change), changeVerdict(change))
	}
	return table.Flush()
}

func changeKind(c configurer.Change) string {
	switch {
	case c.Restored:
		return "restore"
	case c.Deleted:
		return "delete"
	}
	return "write"
}

func changeVerdict(c configurer.Change) string {
	if c.Accepted {
		return "accepted"
	}
	return "rejected: " + strings.Join(c.Faults, "; ")
}

// contents returns the files of a view that are not deleted.
func contents(view server.ConfigView) map[identifier.FileName][]byte {
	files := make(map[identifier.FileName][]byte)
	for _, f := range view.Files {
		if !f.Deleted {
			files[f.File] = []byte(f.Content)
		}
	}
	return files
}

func sortedNames(files map[identifier.FileName][]byte) []identifier.FileName {
	return slices.Sorted(maps.Keys(files))
}
