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
	_ error           = (*blockedError)(nil)
	_ error           = (*unsettledError)(nil)
)

const (
	// settleTime bounds the wait until a change shows whose answer was lost.
	settleTime  = 15 * timekeeper.Second
	settlePause = 300 * timekeeper.Millisecond
)

type configApplyCommand struct {
	operatorFlags
	DeleteMissing bool `long:"delete-missing" description:"Delete files that are in force and not in the folder"`
	DryRun        bool `long:"dry-run" description:"Print what would change, and stop"`
	Args          struct {
		Folder string `positional-arg-name:"DIR" required:"true" description:"Folder of INI files"`
	} `positional-args:"true"`
}

// fileChange is one change of one file.
type fileChange struct {
	File    identifier.FileName `json:"file"`
	Delete  bool                `json:"delete,omitempty"`
	Saw     identifier.Revision `json:"saw"`
	content []byte
}

// appliedChange is a change that is in force.
type appliedChange struct {
	fileChange
	Revision identifier.Revision `json:"revision"`
}

// blockedError reports changes that cannot be made one file at a time, because
// the folder has faults after each of them.
type blockedError struct {
	changes []fileChange
	faults  []configurer.Fault
}

func (e *blockedError) Error() string {
	text := "these files cannot be changed one after the other without faults in between;" +
		" put what belongs together into one file:"
	for _, c := range e.changes {
		text += " " + string(c.File)
	}
	return text + "\n" + (&folderreader.FaultsError{Faults: e.faults}).Error()
}

// unsettledError reports a change that may be in force or not.
type unsettledError struct {
	file  identifier.FileName
	cause error
}

func (e *unsettledError) Error() string {
	return fmt.Sprintf("%s may be in force or not, see config history: %v", e.file, e.cause)
}

func (e *unsettledError) Unwrap() error { return e.cause }

// Execute applies the folder.
func (c *configApplyCommand) Execute([]string) error {
	ctx, stop := interruptible()
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

// planChanges returns the changes that turn the configuration in force into
// the wanted folder, in an order that leaves no fault after any of them: each
// change is accepted or rejected on its own.
func planChanges(
	view server.ConfigView, wanted map[identifier.FileName][]byte, deleteMissing bool,
) ([]fileChange, error) {
	current := contents(view)
	pending := differences(view, wanted, deleteMissing)
	var plan []fileChange
	for len(pending) > 0 {
		i, faults := nextChange(current, pending)
		if i < 0 {
			return nil, &blockedError{
				changes: pending,
				faults:  faults,
			}
		}
		current = applied(current, pending[i])
		plan = append(plan, pending[i])
		pending = append(pending[:i:i], pending[i+1:]...)
	}
	return plan, nil
}

// differences returns the changes by name, deletions last.
func differences(view server.ConfigView, wanted map[identifier.FileName][]byte, deleteMissing bool) []fileChange {
	current := contents(view)
	saw := make(map[identifier.FileName]identifier.Revision)
	for _, f := range view.Files {
		saw[f.File] = f.Revision
	}
	var changes []fileChange
	for _, name := range sortedNames(wanted) {
		if content, ok := current[name]; !ok || !bytes.Equal(content, wanted[name]) {
			changes = append(changes, fileChange{
				File:    name,
				Saw:     saw[name],
				content: wanted[name],
			})
		}
	}
	for _, name := range sortedNames(current) {
		if _, ok := wanted[name]; !ok && deleteMissing {
			changes = append(changes, fileChange{
				File:   name,
				Delete: true,
				Saw:    saw[name],
			})
		}
	}
	return changes
}

// nextChange returns the index of the first change that leaves no fault, or -1
// and the faults that the first change leaves.
func nextChange(current map[identifier.FileName][]byte, pending []fileChange) (int, []configurer.Fault) {
	var first []configurer.Fault
	for i, change := range pending {
		_, faults := configurer.Check(applied(current, change))
		if len(faults) == 0 {
			return i, nil
		}
		if i == 0 {
			first = faults
		}
	}
	return -1, first
}

func applied(files map[identifier.FileName][]byte, change fileChange) map[identifier.FileName][]byte {
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

func (c fileChange) describe(done string) string {
	if c.Delete {
		done += " (delete)"
	}
	return fmt.Sprintf("%s: %s, seen at revision %d", c.File, done, c.Saw)
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

// change makes one change and returns its revision.
func (c *operatorClient) change(ctx context.Context, node string, change fileChange) (identifier.Revision, error) {
	q := question{
		method: http.MethodPut,
		path:   "/operator/v1/config/" + url.PathEscape(string(change.File)),
		body:   change.content,
		saw:    &change.Saw,
		limit:  changeTime,
	}
	if change.Delete {
		q.method = http.MethodDelete
	}
	var answer server.ChangeResult
	err := c.ask(ctx, node, q, &answer)
	if err == nil {
		return answer.Revision, nil
	}
	var problem *problemError
	if errors.As(err, &problem) && problem.exitCode() != exitUnknown {
		return 0, err
	}
	return c.settle(ctx, change, err)
}

// settle finds out whether a change is in force whose answer was lost. It
// must not be sent again blindly: it would then be rejected, as the file no
// longer stands at the revision that it saw, and the operator be told so of a
// change that is in force.
func (c *operatorClient) settle(
	ctx context.Context, change fileChange, cause error,
) (identifier.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, settleTime.Std())
	defer cancel()
	for {
		view, _, err := c.config(bounded)
		if revision, ok := inForce(view, change); err == nil && ok {
			return revision, nil
		}
		select {
		case <-time.After(settlePause.Std()):
		case <-bounded.Done():
			return 0, &unsettledError{
				file:  change.File,
				cause: cause,
			}
		}
	}
}

// inForce reports whether the file reads as change wants it, at a later
// revision than it saw.
func inForce(view server.ConfigView, change fileChange) (identifier.Revision, bool) {
	for _, f := range view.Files {
		if f.File != change.File || f.Revision <= change.Saw {
			continue
		}
		return f.Revision, f.Deleted == change.Delete && (change.Delete || f.Content == string(change.content))
	}
	return 0, false
}
