package server_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

func asOperator(header map[string]string) map[string]string {
	all := map[string]string{"Authorization": "Bearer " + operatorKey}
	for name, value := range header {
		all[name] = value
	}
	return all
}

func TestOperatorReads(t *testing.T) {
	address := start(t, &fakeBackend{}, server.Limits{})
	for path, want := range map[string]string{
		"/operator/v1/config":              `{"revision":7,"files":[{"file":"10-zones.ini","revision":7,"content":"[zone boston-a]\n"}]}`,
		"/operator/v1/config/10-zones.ini": `{"file":"10-zones.ini","revision":7,"content":"[zone boston-a]\n"}`,
		"/operator/v1/config/history":      `null`,
		"/operator/v1/timeline?vm=entry-1": `null`,
		"/operator/v1/explain/r1":          `null`,
	} {
		response, body := exchange(t, "GET", address, path, "", asOperator(nil))
		require.Equal(t, http.StatusOK, response.StatusCode, path)
		require.JSONEq(t, want, body, path)
	}
	response, body := exchange(t, "GET", address, "/debug/vars", "", asOperator(nil))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Contains(t, body, "memstats")
}

// Guards against an undecided change reported as accepted or rejected, and against a change without
// a base revision, which could overwrite a concurrent one.
func TestOperatorChanges(t *testing.T) {
	tests := []struct {
		name          string
		baseRevision  string
		verdict       messenger.ChangeVerdict
		status        int
		outcome       messenger.Outcome
		wantProposals int
	}{
		{
			name:         "accepted",
			baseRevision: "7",
			verdict: messenger.ChangeVerdict{
				Accepted: true,
				Revision: 9,
			},
			status:        200,
			wantProposals: 1,
		},
		{
			name:          "rejected",
			baseRevision:  "6",
			verdict:       messenger.ChangeVerdict{Faults: []string{"10-zones.ini is at 7"}},
			status:        409,
			outcome:       messenger.NotRun,
			wantProposals: 1,
		},
		{
			name:          "unsettled",
			baseRevision:  "7",
			verdict:       messenger.ChangeVerdict{Unknown: true},
			status:        504,
			outcome:       messenger.Unknown,
			wantProposals: 1,
		},
		{
			name:    "no revision",
			status:  428,
			outcome: messenger.NotRun,
		},
		{
			name:         "bad revision",
			baseRevision: "-1",
			status:       400,
			outcome:      messenger.NotRun,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &fakeBackend{
				propose: func(messenger.ChangeProposed) (messenger.ChangeVerdict, error) { return test.verdict, nil },
			}
			address := start(t, b, server.Limits{})
			response, body := exchange(t, "PUT", address, "/operator/v1/config/10-zones.ini", "[zone x]",
				asOperator(map[string]string{"Saw-Revision": test.baseRevision}))
			require.Equal(t, test.status, response.StatusCode, body)
			require.Len(t, b.proposed, test.wantProposals)
			if test.status == http.StatusOK {
				require.JSONEq(t, `{"accepted":true,"file":"10-zones.ini","revision":9}`, body)
				return
			}
			p := parseProblem(t, response, body)
			require.Equal(t, test.outcome, p.Outcome)
			require.Equal(t, test.verdict.Faults, p.Faults)
		})
	}
}

// The node decides whether a restore is accepted. An empty or malformed folder
// must be rejected without a proposal.
func TestOperatorRestores(t *testing.T) {
	const folder = `{"files":{"10-zones.ini":"[zone x]","20-pools.ini":"# none"}}`
	tests := []struct {
		name          string
		body          string
		verdict       messenger.ChangeVerdict
		status        int
		wantProposals int
	}{
		{
			name: "accepted",
			body: folder,
			verdict: messenger.ChangeVerdict{
				Accepted: true,
				Revision: 9,
			},
			status:        200,
			wantProposals: 1,
		},
		{
			name:          "configuration is whole",
			body:          folder,
			verdict:       messenger.ChangeVerdict{Faults: []string{"configuration is whole"}},
			status:        409,
			wantProposals: 1,
		},
		{
			name:          "unsettled",
			body:          folder,
			verdict:       messenger.ChangeVerdict{Unknown: true},
			status:        504,
			wantProposals: 1,
		},
		{
			name:   "no files",
			body:   `{"files":{}}`,
			status: 400,
		},
		{
			name:   "no JSON",
			body:   `[zone x]`,
			status: 400,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &fakeBackend{
				propose: func(messenger.ChangeProposed) (messenger.ChangeVerdict, error) { return test.verdict, nil },
			}
			address := start(t, b, server.Limits{})
			response, body := exchange(t, "POST", address, "/operator/v1/config/restore", test.body, asOperator(nil))
			require.Equal(t, test.status, response.StatusCode, body)
			require.Len(t, b.proposed, test.wantProposals)
			if test.status == http.StatusOK {
				require.JSONEq(t, `{"accepted":true,"revision":9}`, body)
				require.Equal(t, messenger.ChangeProposed{Restore: map[identifier.FileName][]byte{
					"10-zones.ini": []byte("[zone x]"),
					"20-pools.ini": []byte("# none"),
				}}, b.proposed[0])
				return
			}
			require.Equal(t, test.verdict.Faults, parseProblem(t, response, body).Faults)
		})
	}
	response, _ := exchange(t, "POST", start(t, &fakeBackend{}, server.Limits{}), "/operator/v1/config/restore", folder, nil)
	require.Equal(t, http.StatusUnauthorized, response.StatusCode, "a caller's key must not allow a restore")
}
