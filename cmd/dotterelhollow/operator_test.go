package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Nodes accept or reject each file separately, so the plan must leave no fault
// after any step, whatever the file names are.
func TestPlanHasNoIntermediateFaults(t *testing.T) {
	for _, folder := range []string{"../../examples/quillmark", "../../examples/cooperative"} {
		wanted, err := folderreader.ReadDir(folder)
		require.NoError(t, err)
		require.NotEmpty(t, wanted)
		backwards := make(map[identifier.FileName][]byte)
		for i, name := range sortedNames(wanted) {
			backwards[identifier.FileName(string(rune('z'-i))+".ini")] = wanted[name]
		}
		for _, files := range []map[identifier.FileName][]byte{wanted, backwards} {
			plan, err := planChanges(server.ConfigView{}, files, false)
			require.NoError(t, err)
			require.Len(t, plan, len(files))
			current := map[identifier.FileName][]byte{}
			for _, change := range plan {
				current = withChange(current, change)
				_, faults := configurer.Check(current)
				require.Empty(t, faults)
			}
		}
	}
}

func TestPlanChanges(t *testing.T) {
	view := server.ConfigView{
		Revision: 9,
		Files: []server.ConfigFile{
			{
				File:     "10.ini",
				Revision: 3,
				Content:  "[zone a]\nregion = r\n",
			},
			{
				File:     "20.ini",
				Revision: 7,
				Content:  "[zone b]\nregion = r\n",
			},
			{
				File:     "30.ini",
				Revision: 8,
				Content:  "[zone c]\nregion = r\n",
			},
			{
				File:     "40.ini",
				Revision: 9,
				Deleted:  true,
			},
		},
	}
	wanted := map[identifier.FileName][]byte{
		"10.ini": []byte("[zone a]\nregion = r\n"),
		"20.ini": []byte("[zone b]\nregion = other\n"),
		"40.ini": []byte("[zone d]\nregion = r\n"),
	}
	plan, err := planChanges(view, wanted, true)
	require.NoError(t, err)
	require.Equal(t, []fileChange{
		{
			File:         "20.ini",
			BaseRevision: 7,
			content:      wanted["20.ini"],
		},
		{
			File:         "40.ini",
			BaseRevision: 9,
			content:      wanted["40.ini"],
		},
		{
			File:         "30.ini",
			BaseRevision: 8,
			Delete:       true,
		},
	}, plan)
	plan, err = planChanges(view, wanted, false)
	require.NoError(t, err)
	require.Len(t, plan, 2, "files missing from the folder are kept")
}

// configNode starts a node with one file. It drops the responses to changes; if
// applies is set, the changes take effect.
func configNode(t *testing.T, applies bool) (*operatorClient, *atomic.Int32) {
	t.Helper()
	var writes atomic.Int32
	var content atomic.Value
	content.Store("old")
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /operator/v1/config/{file}", func(_ http.ResponseWriter, _ *http.Request) {
		writes.Add(1)
		if applies {
			content.Store("new")
		}
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("GET /operator/v1/config", func(w http.ResponseWriter, _ *http.Request) {
		revision := identifier.Revision(1)
		if content.Load() == "new" {
			revision = 2
		}
		// An encoding error appears as a decoding error at the client.
		_ = json.NewEncoder(w).Encode(server.ConfigView{
			Revision: revision,
			Files: []server.ConfigFile{{
				File:     "10.ini",
				Revision: revision,
				Content:  content.Load().(string),
			}},
		})
	})
	node := httptest.NewServer(mux)
	t.Cleanup(node.Close)
	flags := operatorFlags{Nodes: []string{strings.TrimPrefix(node.URL, "http://")}}
	return flags.client(), &writes
}

// If the response to a change is lost, the client must look up the result. A
// retry would be rejected as stale although the change is in force.
func TestChangeWithLostResponse(t *testing.T) {
	client, writes := configNode(t, true)
	revision, err := client.change(t.Context(), client.nodes[0], fileChange{
		File:         "10.ini",
		BaseRevision: 1,
		content:      []byte("new"),
	})
	require.NoError(t, err)
	require.Equal(t, identifier.Revision(2), revision)
	require.Equal(t, int32(1), writes.Load())
}

func TestDisagreements(t *testing.T) {
	nodes := []server.Status{
		{
			Node:     "entry-1",
			Revision: 4,
			Nodes: []server.NodeStatus{{
				VM:    "entry-1",
				State: "alive",
			}, {
				VM:    "entry-2",
				State: "alive",
			}},
			Leases: []server.LeaseStatus{{
				Lease:  "reading",
				Holder: "entry-1",
				Fence:  3,
			}},
		},
		{
			Node:     "entry-2",
			Revision: 4,
			Nodes: []server.NodeStatus{{
				VM:    "entry-1",
				State: "leaving",
			}, {
				VM:    "entry-2",
				State: "alive",
			}},
		},
	}
	require.Equal(t, []disagreement{
		{
			Subject: "lease reading",
			Views:   map[identifier.VMID]string{"entry-1": "entry-1 with fence 3", "entry-2": "-"},
		},
		{
			Subject: "node entry-1",
			Views:   map[identifier.VMID]string{"entry-1": "alive", "entry-2": "leaving"},
		},
	}, disagreements(nodes))
}

// An unknown request or file must be an error: empty output with exit code 0
// would suggest that the name exists.
func TestUnknownNamesAreErrors(t *testing.T) {
	node := &fakeNode{status: server.Status{Node: "entry-1"}}
	flags := operatorFlags{Nodes: []string{node.start(t)}}

	explain := &explainCommand{operatorFlags: flags}
	explain.Args.Request = "nosuch"
	var unexplained *noEventsError
	require.ErrorAs(t, explain.Execute(nil), &unexplained)

	show := &configShowCommand{operatorFlags: flags}
	show.Args.File = "nosuch.ini"
	var unknown *unknownFileError
	require.ErrorAs(t, show.Execute(nil), &unknown)
}

func TestProgress(t *testing.T) {
	for want, trace := range map[string]caller.Trace{
		"ended after 2ms": {
			Total: 2,
		},
		"3 tokens in 54ms": {
			Tokens: 3,
			Total:  54,
		},
		"3 tokens in 54ms, first after 2ms": {
			Tokens:     3,
			Total:      54,
			FirstToken: 2,
		},
	} {
		require.Equal(t, want, progress(trace))
	}
}

func TestExitCodes(t *testing.T) {
	rejected := &problemError{Problem: server.Problem{
		Reason:  server.ReasonChangeRejected,
		Outcome: messenger.NotRun,
	}}
	for code, errs := range map[int][]error{
		exitDone:     {nil},
		exitNotRun:   {&caller.RefusalError{Outcome: caller.OutcomeNotRun}, &caller.NoNodeError{}},
		exitUnknown:  {&caller.RefusalError{Outcome: caller.OutcomeUnknown}, &caller.UnknownOutcomeError{}, &unresolvedChangeError{}},
		exitFaults:   {&folderreader.FaultsError{}, &noFaultFreeOrderError{}, &restoreNotNeededError{}, rejected},
		exitDisagree: {&disagreementError{}},
		exitDiverged: {&caller.DivergedError{Cause: &caller.RefusalError{Outcome: caller.OutcomeUnknown}}},
		exitFailed: {
			&nodeError{},
			&statusError{},
			&noEventsError{},
			&unknownFileError{},
			&caller.RefusalError{Outcome: caller.OutcomeFailed},
		},
	} {
		for _, err := range errs {
			require.Equal(t, code, exitCode(err), "%T", err)
		}
	}
}
