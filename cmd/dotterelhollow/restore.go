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
	_ error           = (*restoreNotNeededError)(nil)
)

// configRestoreCommand replaces a configuration that all nodes have lost.
type configRestoreCommand struct {
	operatorFlags
	Args struct {
		Folder string `positional-arg-name:"DIR" required:"true" description:"Folder of INI files"`
	} `positional-args:"true"`
}

// restoreNotNeededError reports that a node has the configuration, or, if node is
// empty, that no responding node has lost it.
type restoreNotNeededError struct{ node identifier.VMID }

func (e *restoreNotNeededError) Error() string {
	if e.node == "" {
		return "no responding node has lost the configuration: see status"
	}
	return fmt.Sprintf("%s has the configuration: change its files by config apply instead", e.node)
}

// restoreResult is the JSON output of the command.
type restoreResult struct {
	Node     string              `json:"node"`
	Files    int                 `json:"files"`
	Revision identifier.Revision `json:"revision"`
}

// Execute checks the folder and restores the configuration from it.
func (c *configRestoreCommand) Execute([]string) error {
	ctx, stop := signalContext()
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

// restore sends files to a node that has lost the configuration.
func (c *operatorClient) restore(ctx context.Context, files map[identifier.FileName][]byte) (restoreResult, error) {
	answers := c.statuses(ctx)
	var failed []error
	for _, a := range answers {
		if a.err != nil {
			failed = append(failed, a.err)
		}
	}
	if len(failed) == len(answers) {
		return restoreResult{}, errors.Join(failed...)
	}
	warn(failed)
	node, err := nodeWithLostConfig(answers)
	if err != nil {
		return restoreResult{}, err
	}
	revision, err := c.restoreAt(ctx, node, files)
	return restoreResult{
		Node:     node,
		Files:    len(files),
		Revision: revision,
	}, err
}

// nodeWithLostConfig returns the address of a node that has lost the
// configuration, or an error if any node still has it. In that case the nodes
// that lost the configuration copy it from their peer without help, while a
// restore would overwrite on all nodes the changes made since the operators'
// copy of the folder.
func nodeWithLostConfig(answers []nodeResponse[server.Status]) (string, error) {
	node := ""
	for _, a := range answers {
		switch {
		case a.err != nil:
		case a.value.Fault != "":
			node = a.node
		case a.value.Revision != 0:
			return "", &restoreNotNeededError{node: a.value.Node}
		}
	}
	if node == "" {
		return "", &restoreNotNeededError{}
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
	err = c.do(ctx, node, apiRequest{
		method:  http.MethodPost,
		path:    "/operator/v1/config/restore",
		body:    body,
		timeout: changeTimeout,
	}, &answer)
	var problem *problemError
	switch {
	case err == nil:
		return answer.Revision, nil
	case errors.As(err, &problem) && problem.exitCode() != exitUnknown:
		return 0, err
	}
	return c.resolveRestore(ctx, files, err)
}

// resolveRestore finds out whether a restore took effect whose response was
// lost.
func (c *operatorClient) resolveRestore(
	ctx context.Context, files map[identifier.FileName][]byte, cause error,
) (identifier.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, resolveTimeout.Std())
	defer cancel()
	for {
		view, _, err := c.config(bounded)
		if err == nil && maps.EqualFunc(contents(view), files, func(a, b []byte) bool { return string(a) == string(b) }) {
			return view.Revision, nil
		}
		select {
		case <-time.After(resolveInterval.Std()):
		case <-bounded.Done():
			return 0, &unresolvedChangeError{
				file:  "the restored folder",
				cause: cause,
			}
		}
	}
}
