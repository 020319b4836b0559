package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

var (
	_ flags.Commander = (*configRestoreCommand)(nil)
	_ error           = (*wholeError)(nil)
)

// configRestoreCommand replaces a configuration that was lost.
type configRestoreCommand struct {
	operatorFlags
	Args struct {
		Folder string `positional-arg-name:"DIR" required:"true" description:"Folder of INI files"`
	} `positional-args:"true"`
}

// wholeError reports a restore that is not needed.
type wholeError struct{ node identifier.VMID }

func (e *wholeError) Error() string {
	if e.node == "" {
		return "no node that answers has lost the configuration: see status"
	}
	return fmt.Sprintf("%s has the configuration: change its files by config apply instead", e.node)
}

// restored is the answer of the command as JSON.
type restored struct {
	Node     string              `json:"node"`
	Files    int                 `json:"files"`
	Revision identifier.Revision `json:"revision"`
}

// Execute restores the folder.
func (c *configRestoreCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	files, err := folderreader.ReadDir(c.Args.Folder)
	if err != nil {
		return err
	}
	if _, faults := configurer.Check(files); len(faults) > 0 {
		return &folderreader.FaultsError{Faults: faults}
	}
	done, err := c.client().restore(ctx, files)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(os.Stdout, done)
	}
	fmt.Printf("%d files restored, now at revision %d\n", done.Files, done.Revision)
	return nil
}

// restore puts files in force at a node that has lost the configuration.
func (c *operatorClient) restore(ctx context.Context, files map[identifier.FileName][]byte) (restored, error) {
	answers := c.statuses(ctx)
	var failed []error
	for _, a := range answers {
		if a.err != nil {
			failed = append(failed, a.err)
		}
	}
	if len(failed) == len(answers) {
		return restored{}, errors.Join(failed...)
	}
	warn(failed)
	node, err := gapped(answers)
	if err != nil {
		return restored{}, err
	}
	revision, err := c.restoreAt(ctx, node, files)
	return restored{
		Node:     node,
		Files:    len(files),
		Revision: revision,
	}, err
}

// gapped returns a node that has lost the configuration.
//
// There must be none that has it. A node with a gap takes the state of such a
// peer by itself, while a restore would replace at all nodes what operators
// changed since their copy of the folder was made.
func gapped(answers []answerOf[server.Status]) (string, error) {
	node := ""
	for _, a := range answers {
		switch {
		case a.err != nil:
		case a.value.Fault != "":
			node = a.node
		case a.value.Revision != 0:
			return "", &wholeError{node: a.value.Node}
		}
	}
	if node == "" {
		return "", &wholeError{}
	}
	return node, nil
}

func (c *operatorClient) restoreAt(
	ctx context.Context, node string, files map[identifier.FileName][]byte,
) (identifier.Revision, error) {
	wanted := server.RestoreRequest{Files: make(map[identifier.FileName]string)}
	for name, content := range files {
		wanted.Files[name] = string(content)
	}
	body, err := json.Marshal(wanted)
	if err != nil {
		return 0, fmt.Errorf("encoding the folder: %w", err)
	}
	var answer server.ChangeResult
	err = c.ask(ctx, node, question{
		method: http.MethodPost,
		path:   "/operator/v1/config/restore",
		body:   body,
		limit:  changeTime,
	}, &answer)
	var problem *problemError
	switch {
	case err == nil:
		return answer.Revision, nil
	case errors.As(err, &problem) && problem.exitCode() != exitUnknown:
		return 0, err
	}
	return c.settleRestore(ctx, files, err)
}

// settleRestore finds out whether a restore is in force whose answer was lost.
func (c *operatorClient) settleRestore(
	ctx context.Context, files map[identifier.FileName][]byte, cause error,
) (identifier.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, settleTime.Std())
	defer cancel()
	for {
		view, _, err := c.config(bounded)
		if err == nil && maps.EqualFunc(contents(view), files, func(a, b []byte) bool { return string(a) == string(b) }) {
			return view.Revision, nil
		}
		select {
		case <-time.After(settlePause.Std()):
		case <-bounded.Done():
			return 0, &unsettledError{
				file:  "the restored folder",
				cause: cause,
			}
		}
	}
}
