package forwarder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/forwarder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// refusingDecider refuses all requests for want of room.
type refusingDecider struct{ *fakeDecider }

func (refusingDecider) Receive(_ context.Context, spec messenger.ExchangeSpec) messenger.Effect {
	return messenger.RefuseExchange{
		Exchange: spec.Exchange,
		Refusal: messenger.Refusal{
			Reason:     messenger.ReasonNoRoomInTime,
			RetryAfter: 300,
		},
		Inputs: messenger.DecisionInputs{
			Predicted:       5 * timekeeper.Second,
			Patience:        4 * timekeeper.Second,
			PredictionError: 1.5,
		},
	}
}

// Guards against refusals by admission that neither log nor metrics explain.
func TestAdmissionRefusalIsVisible(t *testing.T) {
	var log bytes.Buffer
	metrics := forwarder.NewMetrics()
	f := forwarder.New(forwarder.Config{
		Decider:  refusingDecider{fakeDecider: newFakeDecider()},
		Protocol: testProtocol{},
		Clock:    timekeeper.System{},
		Metrics:  metrics,
		Logger: hclog.New(&hclog.LoggerOptions{
			Output:     &log,
			JSONFormat: true,
		}),
	})
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("Id", "r-1")
	answer := httptest.NewRecorder()
	f.ServeHTTP(answer, r)
	require.Equal(t, http.StatusServiceUnavailable, answer.Code)

	var line map[string]any
	require.NoError(t, json.Unmarshal(log.Bytes(), &line))
	require.Equal(t, "no_room_in_time", line["reason"])
	require.EqualValues(t, 5000, line["predicted_ms"])
	require.EqualValues(t, 4000, line["patience_ms"])
	require.InDelta(t, 1.5, line["prediction_error"], 1e-9)

	var values struct {
		Refusals map[string]int `json:"admission_refusals"`
		Wait     struct {
			Count int
		} `json:"admission_wait_ms"`
		Error float64 `json:"admission_prediction_error"`
	}
	require.NoError(t, json.Unmarshal([]byte(metrics.Var().String()), &values))
	require.Equal(t, map[string]int{"no_room_in_time": 1}, values.Refusals)
	require.Equal(t, 1, values.Wait.Count)
	require.InDelta(t, 1.5, values.Error, 0.001)
}
