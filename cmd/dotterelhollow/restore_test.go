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

const lostConfigFault = "configuration: records after offset 0 up to 41 expired unread and no snapshot covers them"

// fakeNode is a node that may have lost its configuration.
type fakeNode struct {
	mu       sync.Mutex
	status   server.Status
	view     server.ConfigView
	restores int
	// dropsResponse makes the node drop its response to a restore.
	dropsResponse bool
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		if n.dropsResponse {
			panic(http.ErrAbortHandler)
		}
		value = server.ChangeResult{
			Accepted: true,
			Revision: n.view.Revision,
		}
	}
	// An encoding error appears as a decoding error at the client.
	_ = json.NewEncoder(w).Encode(value)
}

func (n *fakeNode) restore(body io.Reader) {
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

func (n *fakeNode) start(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(n)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// A restore must be sent once, to one node that has lost the configuration, even
// if the response is lost.
func TestRestore(t *testing.T) {
	files := map[identifier.FileName][]byte{
		"10.ini": []byte("[zone a]\nregion = r\n"),
		"20.ini": []byte("# \"quoted\" <text>\n"),
	}
	for name, dropsResponse := range map[string]bool{"answered": false, "answer lost": true} {
		t.Run(name, func(t *testing.T) {
			freshNode := &fakeNode{status: server.Status{Node: "entry-1"}}
			lostNode := &fakeNode{
				status: server.Status{
					Node:  "entry-2",
					Fault: lostConfigFault,
				},
				dropsResponse: dropsResponse,
			}
			addresses := []string{freshNode.start(t), lostNode.start(t)}
			done, err := operatorFlags{Nodes: addresses}.client().restore(t.Context(), files)
			require.NoError(t, err)
			require.Equal(t, restoreResult{
				Node:     addresses[1],
				Files:    2,
				Revision: 42,
			}, done)
			require.Zero(t, freshNode.restores)
			require.Equal(t, 1, lostNode.restores)
			require.Equal(t, files, contents(lostNode.view))
		})
	}
}

// A restore must not be sent if a node still has the configuration, whose newer
// changes it would overwrite, or if no node reports a loss.
func TestRestoreRejectedUnlessConfigurationLost(t *testing.T) {
	lost := server.Status{
		Node:  "entry-1",
		Fault: lostConfigFault,
	}
	for name, statuses := range map[string][]server.Status{
		"another node has it": {lost, {
			Node:     "entry-2",
			Revision: 40,
		}},
		"no node has lost it": {{
			Node:     "entry-1",
			Revision: 40,
		}},
		"just started": {{Node: "entry-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			var addresses []string
			var nodes []*fakeNode
			for _, s := range statuses {
				n := &fakeNode{status: s}
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

// Nodes that agree but can't follow the configuration must be counted as faulty.
func TestStatusCountsFaultyNodes(t *testing.T) {
	n := &fakeNode{status: server.Status{
		Node:  "entry-1",
		Fault: lostConfigFault,
	}}
	report := newStatusReport(operatorFlags{Nodes: []string{n.start(t)}}.client().statuses(t.Context()))
	require.Empty(t, report.Disagreements)
	require.Equal(t, 1, report.countFaulty())
	var out strings.Builder
	require.NoError(t, (&statusCommand{}).print(&out, report))
	require.Contains(t, out.String(), "fault at entry-1: "+lostConfigFault)
}
