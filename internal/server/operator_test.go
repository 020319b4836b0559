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

// An operator is told the truth about a change: accepted, rejected and not in
// force, or not settled. A change that names no revision is turned away, since
// it would overwrite a colleague's change unseen.
func TestOperatorChanges(t *testing.T) {
	tests := []struct {
		name    string
		saw     string
		verdict messenger.ChangeVerdict
		status  int
		outcome messenger.Outcome
		asked   int
	}{
		{"accepted", "7", messenger.ChangeVerdict{Accepted: true, Revision: 9}, 200, "", 1},
		{"rejected", "6", messenger.ChangeVerdict{Faults: []string{"10-zones.ini is at 7"}}, 409, messenger.NotRun, 1},
		{"unsettled", "7", messenger.ChangeVerdict{Unknown: true}, 504, messenger.Unknown, 1},
		{"no revision", "", messenger.ChangeVerdict{}, 428, messenger.NotRun, 0},
		{"bad revision", "-1", messenger.ChangeVerdict{}, 400, messenger.NotRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &fakeBackend{
				propose: func(messenger.ChangeProposed) (messenger.ChangeVerdict, error) { return test.verdict, nil },
			}
			address := start(t, b, server.Limits{})
			response, body := exchange(t, "PUT", address, "/operator/v1/config/10-zones.ini", "[zone x]",
				asOperator(map[string]string{"Saw-Revision": test.saw}))
			require.Equal(t, test.status, response.StatusCode, body)
			require.Len(t, b.proposed, test.asked)
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

// The log has lost the configuration, and an operator sends the whole folder.
// The node decides whether its configuration is lost, and a folder that says
// nothing is turned away before it is asked.
func TestOperatorRestores(t *testing.T) {
	const folder = `{"files":{"10-zones.ini":"[zone x]","20-pools.ini":"# none"}}`
	tests := []struct {
		name    string
		body    string
		verdict messenger.ChangeVerdict
		status  int
		asked   int
	}{
		{"accepted", folder, messenger.ChangeVerdict{Accepted: true, Revision: 9}, 200, 1},
		{"configuration is whole", folder, messenger.ChangeVerdict{Faults: []string{"configuration is whole"}}, 409, 1},
		{"unsettled", folder, messenger.ChangeVerdict{Unknown: true}, 504, 1},
		{"no files", `{"files":{}}`, messenger.ChangeVerdict{}, 400, 0},
		{"no JSON", `[zone x]`, messenger.ChangeVerdict{}, 400, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &fakeBackend{
				propose: func(messenger.ChangeProposed) (messenger.ChangeVerdict, error) { return test.verdict, nil },
			}
			address := start(t, b, server.Limits{})
			response, body := exchange(t, "POST", address, "/operator/v1/config/restore", test.body, asOperator(nil))
			require.Equal(t, test.status, response.StatusCode, body)
			require.Len(t, b.proposed, test.asked)
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
	require.Equal(t, http.StatusUnauthorized, response.StatusCode, "a caller's key restores nothing")
}
