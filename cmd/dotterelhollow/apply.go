package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var (
	_ flags.Commander = (*configApplyCommand)(nil)
	_ error           = (*noFaultFreeOrderError)(nil)
	_ error           = (*unresolvedChangeError)(nil)
)

const (
	// resolveTimeout limits the time to find out whether a change took effect
	// whose response was lost; resolveInterval is the time between attempts.
	resolveTimeout  = 15 * timekeeper.Second
	resolveInterval = 300 * timekeeper.Millisecond
)

type configApplyCommand struct {
	operatorFlags
	DeleteMissing bool `long:"delete-missing" description:"Delete files that are in force and not in the folder"`
	DryRun        bool `long:"dry-run" description:"Print what would change, and stop"`
	Args          struct {
		Folder string `positional-arg-name:"DIR" required:"true" description:"Folder of INI files"`
	} `positional-args:"true"`
}

// fileChange is a change of one file. BaseRevision is the file's revision that
// the change replaces.
type fileChange struct {
	File         identifier.FileName `json:"file"`
	Delete       bool                `json:"delete,omitempty"`
	BaseRevision identifier.Revision `json:"saw"`
	content      []byte
}

// appliedChange is a change that is in force.
type appliedChange struct {
	fileChange
	Revision identifier.Revision `json:"revision"`
}

// noFaultFreeOrderError reports that no order of the remaining changes keeps the
// configuration free of faults. faults are those after the first change.
type noFaultFreeOrderError struct {
	changes []fileChange
	faults  []configurer.Fault
}

func (e *noFaultFreeOrderError) Error() string {
	text := "these files cannot be changed one after the other without faults in between;" +
		" put sections that depend on each other into one file:"
	for _, c := range e.changes {
		text += " " + string(c.File)
	}
	return text + "\n" + (&folderreader.FaultsError{Faults: e.faults}).Error()
}

// unresolvedChangeError reports a change of which it is unknown whether it took
// effect.
type unresolvedChangeError struct {
	file  identifier.FileName
	cause error
}

func (e *unresolvedChangeError) Error() string {
	return fmt.Sprintf("%s may be in force or not, see config history: %v", e.file, e.cause)
}

func (e *unresolvedChangeError) Unwrap() error { return e.cause }

// Execute checks the folder and sends the changed files, or prints the changes
// for a dry run.
func (c *configApplyCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	wanted, err := folderreader.ReadDir(c.Args.Folder)
	if err != nil {
		return err
	}
	if _, faults := configurer.Check(wanted); len(faults) > 0 {
		return &folderreader.FaultsError{Faults: faults}
	}
	client := c.client()
	view, node, err := client.config(ctx)
	if err != nil {
		return err
	}
	plan, err := planChanges(view, wanted, c.DeleteMissing)
	if err != nil {
		return err
	}
	if c.DryRun {
		return c.printPlan(plan)
	}
	return c.apply(ctx, client, node, plan)
}

// planChanges returns the changes that turn the configuration in force into the
// wanted folder. Nodes accept or reject each change separately, so the order
// must leave no fault after any of them.
func planChanges(
	view server.ConfigView, wanted map[identifier.FileName][]byte, deleteMissing bool,
) ([]fileChange, error) {
	current := contents(view)
	pending := differences(view, wanted, deleteMissing)
	var plan []fileChange
	for len(pending) > 0 {
		i, faults := nextChange(current, pending)
		if i < 0 {
			return nil, &noFaultFreeOrderError{
				changes: pending,
				faults:  faults,
			}
		}
		current = withChange(current, pending[i])
		plan = append(plan, pending[i])
		pending = append(pending[:i:i], pending[i+1:]...)
	}
	return plan, nil
}

// differences returns the changes sorted by file name, deletions last.
func differences(view server.ConfigView, wanted map[identifier.FileName][]byte, deleteMissing bool) []fileChange {
	current := contents(view)
	revisions := make(map[identifier.FileName]identifier.Revision)
	for _, f := range view.Files {
		revisions[f.File] = f.Revision
	}
	var changes []fileChange
	for _, name := range sortedNames(wanted) {
		if content, ok := current[name]; !ok || !bytes.Equal(content, wanted[name]) {
			changes = append(changes, fileChange{
				File:         name,
				BaseRevision: revisions[name],
				content:      wanted[name],
			})
		}
	}
	for _, name := range sortedNames(current) {
		if _, ok := wanted[name]; !ok && deleteMissing {
			changes = append(changes, fileChange{
				File:         name,
				Delete:       true,
				BaseRevision: revisions[name],
			})
		}
	}
	return changes
}

// nextChange returns the index of the first change that leaves no fault, or -1
// and the faults after the first pending change.
func nextChange(current map[identifier.FileName][]byte, pending []fileChange) (int, []configurer.Fault) {
	var firstFaults []configurer.Fault
	for i, change := range pending {
		_, faults := configurer.Check(withChange(current, change))
		if len(faults) == 0 {
			return i, nil
		}
		if i == 0 {
			firstFaults = faults
		}
	}
	return -1, firstFaults
}

func withChange(files map[identifier.FileName][]byte, change fileChange) map[identifier.FileName][]byte {
	after := maps.Clone(files)
	if change.Delete {
		delete(after, change.File)
		return after
	}
	after[change.File] = change.content
	return after
}

func (c *configApplyCommand) printPlan(plan []fileChange) error {
	if c.JSON {
		return writeJSON(os.Stdout, append([]fileChange{}, plan...))
	}
	for _, change := range plan {
		fmt.Println(change.describe("would change"))
	}
	return nil
}

func (c fileChange) describe(action string) string {
	if c.Delete {
		action += " (delete)"
	}
	return fmt.Sprintf("%s: %s, based on revision %d", c.File, action, c.BaseRevision)
}

func (c *configApplyCommand) apply(ctx context.Context, client *operatorClient, node string, plan []fileChange) error {
	results := []appliedChange{}
	var failed error
	for _, change := range plan {
		revision, err := client.change(ctx, node, change)
		if err != nil {
			failed = fmt.Errorf("%s: %w", change.File, err)
			break
		}
		results = append(results, appliedChange{
			fileChange: change,
			Revision:   revision,
		})
		if !c.JSON {
			fmt.Printf("%s, now at revision %d\n", change.describe("changed"), revision)
		}
	}
	if c.JSON {
		return errors.Join(failed, writeJSON(os.Stdout, results))
	}
	if failed == nil {
		fmt.Printf("%d files changed\n", len(results))
	}
	return failed
}

// change sends one change and returns the resulting revision.
func (c *operatorClient) change(ctx context.Context, node string, change fileChange) (identifier.Revision, error) {
	q := apiRequest{
		method:       http.MethodPut,
		path:         "/operator/v1/config/" + url.PathEscape(string(change.File)),
		body:         change.content,
		baseRevision: &change.BaseRevision,
		timeout:      changeTimeout,
	}
	if change.Delete {
		q.method = http.MethodDelete
	}
	var answer server.ChangeResult
	err := c.do(ctx, node, q, &answer)
	if err == nil {
		return answer.Revision, nil
	}
	var problem *problemError
	if errors.As(err, &problem) && problem.exitCode() != exitUnknown {
		return 0, err
	}
	return c.resolveChange(ctx, change, err)
}

// resolveChange finds out whether a change took effect whose response was lost.
// The change must not be sent again: if it is in force, the retry would be
// rejected as stale, and the operator would see a failure.
func (c *operatorClient) resolveChange(
	ctx context.Context, change fileChange, cause error,
) (identifier.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, resolveTimeout.Std())
	defer cancel()
	for {
		view, _, err := c.config(bounded)
		if revision, ok := inForce(view, change); err == nil && ok {
			return revision, nil
		}
		select {
		case <-time.After(resolveInterval.Std()):
		case <-bounded.Done():
			return 0, &unresolvedChangeError{
				file:  change.File,
				cause: cause,
			}
		}
	}
}

// inForce reports whether the file has the content that change requests, at a
// later revision than its base, and returns that revision.
func inForce(view server.ConfigView, change fileChange) (identifier.Revision, bool) {
	for _, f := range view.Files {
		if f.File != change.File || f.Revision <= change.BaseRevision {
			continue
		}
		return f.Revision, f.Deleted == change.Delete && (change.Delete || f.Content == string(change.content))
	}
	return 0, false
}
