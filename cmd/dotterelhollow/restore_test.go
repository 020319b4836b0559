package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const gap = "configuration: records after offset 0 up to 41 expired unread and no snapshot covers them"

// lossyNode is a node that may have lost its configuration.
type lossyNode struct {
	mu       sync.Mutex
	status   server.Status
	view     server.ConfigView
	restores int
	// loses tells that the answer to a restore is lost.
	loses bool
}

func (n *lossyNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var value any
	switch r.URL.Path {
	case "/operator/v1/status":
		value = n.status
	case "/operator/v1/config":
		value = n.view
	case "/operator/v1/config/restore":
		n.restore(r.Body)
		if n.loses {
			panic(http.ErrAbortHandler)
		}
		value = server.ChangeResult{
			Accepted: true,
			Revision: n.view.Revision,
		}
	}
	// What does not encode shows as an answer that does not decode.
	_ = json.NewEncoder(w).Encode(value)
}

func (n *lossyNode) restore(body io.Reader) {
	n.restores++
	var wanted server.RestoreRequest
	_ = json.NewDecoder(body).Decode(&wanted)
	n.view.Revision = 42
	for name, content := range wanted.Files {
		n.view.Files = append(n.view.Files, server.ConfigFile{
			File:     name,
			Revision: n.view.Revision,
			Content:  content,
		})
	}
}

func (n *lossyNode) start(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(n)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// The fleet was off for longer than the log keeps records, and no node has the
// configuration any more. An operator restores the folder, at one node and
// once, also where the answer to it is lost.
func TestRestore(t *testing.T) {
	files := map[identifier.FileName][]byte{
		"10.ini": []byte("[zone a]\nregion = r\n"),
		"20.ini": []byte("# \"quoted\" <text>\n"),
	}
	for name, loses := range map[string]bool{"answered": false, "answer lost": true} {
		t.Run(name, func(t *testing.T) {
			fresh := &lossyNode{status: server.Status{Node: "entry-1"}}
			lost := &lossyNode{
				status: server.Status{
					Node:  "entry-2",
					Fault: gap,
				},
				loses: loses,
			}
			addresses := []string{fresh.start(t), lost.start(t)}
			done, err := operatorFlags{Nodes: addresses}.client().restore(t.Context(), files)
			require.NoError(t, err)
			require.Equal(t, restored{
				Node:     addresses[1],
				Files:    2,
				Revision: 42,
			}, done)
			require.Zero(t, fresh.restores)
			require.Equal(t, 1, lost.restores)
			require.Equal(t, files, contents(lost.view))
		})
	}
}

// One node has a gap, another one still has the configuration, with changes
// that the operator's copy of the folder lacks. A restore would undo these
// changes everywhere, so it is not even sent. Nor is it where no node says
// that it lost anything. The control is TestRestore: with no such node, the
// same node with the gap is sent the restore.
func TestRestoreIsRefusedWhileANodeHasTheConfiguration(t *testing.T) {
	lost := server.Status{
		Node:  "entry-1",
		Fault: gap,
	}
	for name, statuses := range map[string][]server.Status{
		"another node has it": {lost, {
			Node:     "entry-2",
			Revision: 40,
		}},
		"all are whole": {{
			Node:     "entry-1",
			Revision: 40,
		}},
		"just started": {{Node: "entry-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			var addresses []string
			var nodes []*lossyNode
			for _, s := range statuses {
				n := &lossyNode{status: s}
				nodes = append(nodes, n)
				addresses = append(addresses, n.start(t))
			}
			_, err := operatorFlags{Nodes: addresses}.client().restore(t.Context(), nil)
			require.Equal(t, exitFaults, exitCode(err))
			for _, n := range nodes {
				require.Zero(t, n.restores)
			}
		})
	}
}

// All nodes agree, but on a configuration that they can't follow.
func TestStatusCountsFaults(t *testing.T) {
	n := &lossyNode{status: server.Status{
		Node:  "entry-1",
		Fault: gap,
	}}
	report := newStatusReport(operatorFlags{Nodes: []string{n.start(t)}}.client().statuses(t.Context()))
	require.Empty(t, report.Disagreements)
	require.Equal(t, 1, report.faults())
	var out strings.Builder
	require.NoError(t, (&statusCommand{}).print(&out, report))
	require.Contains(t, out.String(), "fault at entry-1: "+gap)
}
