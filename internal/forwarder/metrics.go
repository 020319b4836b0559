package forwarder

import (
	"cmp"
	"encoding/json"
	"expvar"
	"strconv"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxLatency and latencyDigits set the range and the significant digits of the
	// histograms.
	maxLatency    = int64(2 * timekeeper.Minute)
	latencyDigits = 1
)

// Metrics counts exchanges. It is safe for concurrent use.
type Metrics struct {
	vars     *expvar.Map
	requests expvar.Int
	results  expvar.Map
	statuses expvar.Map
	// statedLimits counts the answers that state a limit of their server.
	statedLimits expvar.Int
	// leavingAnswers counts the answers of servers that state to be leaving.
	leavingAnswers expvar.Int
	// backoffAnswers counts the answers of servers that ask this node to send no requests
	// for some time.
	backoffAnswers expvar.Int
	// brittleAnswers counts the answers that state that their server is brittle, brittleRejections
	// those of them that reject a request, and malformedBrittle statements that can't be read.
	brittleAnswers    expvar.Int
	brittleRejections expvar.Int
	malformedBrittle  expvar.Int
	// tunnels counts the connections that were attempted through peers, by result, and
	// directFailures the direct connections that failed.
	tunnels        expvar.Map
	directFailures expvar.Int
	// shares counts the requests for services that were short of capacity, by whether they
	// were within their account's share.
	shares expvar.Map
	// stalls counts the decisions on attempts whose servers sent nothing in time, and takeovers
	// those by which another server took over.
	stalls    expvar.Int
	takeovers expvar.Int
	// serverChecks counts the checks of silent servers, by what these were found to do.
	serverChecks expvar.Map
	// closedConnections counts the connections that were closed with attempts, by the result of these.
	closedConnections expvar.Map
	// panics counts the exchanges that ended with a panic.
	panics expvar.Int
	// lateDecisions counts the decisions that took too long to be used.
	lateDecisions expvar.Int
	// admissionRefusals counts the requests that no server could answer in time, by reason.
	// admissionWaits are the predicted times to their first events, and predictionError the
	// last ratio of observed times to predictions by which one of them was refused.
	admissionRefusals expvar.Map
	admissionWaits    latencyHistogram
	predictionError   expvar.Float
	firstEvents       latencyHistogram
	totals            latencyHistogram
}

// NewMetrics returns Metrics whose counters are zero.
func NewMetrics() *Metrics {
	m := &Metrics{vars: new(expvar.Map).Init()}
	m.results.Init()
	m.statuses.Init()
	m.tunnels.Init()
	m.serverChecks.Init()
	m.closedConnections.Init()
	m.admissionRefusals.Init()
	m.admissionWaits.init()
	m.shares.Init()
	m.firstEvents.init()
	m.totals.init()
	m.vars.Set("requests", &m.requests)
	m.vars.Set("results", &m.results)
	m.vars.Set("statuses", &m.statuses)
	m.vars.Set("server_limits", &m.statedLimits)
	m.vars.Set("server_leaving", &m.leavingAnswers)
	m.vars.Set("server_backoffs", &m.backoffAnswers)
	m.vars.Set("server_brittle", &m.brittleAnswers)
	m.vars.Set("brittle_rejections", &m.brittleRejections)
	m.vars.Set("brittle_malformed", &m.malformedBrittle)
	m.vars.Set("tunnels", &m.tunnels)
	m.vars.Set("direct_failures", &m.directFailures)
	m.vars.Set("shares", &m.shares)
	m.vars.Set("stalls", &m.stalls)
	m.vars.Set("takeovers", &m.takeovers)
	m.vars.Set("server_checks", &m.serverChecks)
	m.vars.Set("closed_connections", &m.closedConnections)
	m.vars.Set("panics", &m.panics)
	m.vars.Set("late_decisions", &m.lateDecisions)
	m.vars.Set("admission_refusals", &m.admissionRefusals)
	m.vars.Set("admission_wait_ms", &m.admissionWaits)
	m.vars.Set("admission_prediction_error", &m.predictionError)
	m.vars.Set("first_event_ms", &m.firstEvents)
	m.vars.Set("whole_ms", &m.totals)
	return m
}

// Var returns the metrics as an expvar variable.
func (m *Metrics) Var() expvar.Var { return m.vars }

func (m *Metrics) received() { m.requests.Add(1) }

func (m *Metrics) limitStated() { m.statedLimits.Add(1) }

func (m *Metrics) leavingStated() { m.leavingAnswers.Add(1) }

func (m *Metrics) backoffStated() { m.backoffAnswers.Add(1) }

func (m *Metrics) brittleStated(rejected bool) {
	m.brittleAnswers.Add(1)
	if rejected {
		m.brittleRejections.Add(1)
	}
}

func (m *Metrics) brittleMalformed() { m.malformedBrittle.Add(1) }

func (m *Metrics) shared(s messenger.ShareState) {
	if s != "" {
		m.shares.Add(string(s), 1)
	}
}

func (m *Metrics) attemptStalled(takesOver bool) {
	m.stalls.Add(1)
	if takesOver {
		m.takeovers.Add(1)
	}
}

func (m *Metrics) serverChecked(a messenger.ServerActivity) { m.serverChecks.Add(string(a), 1) }

// connectionClosed counts the connection of an attempt that was given up, if it had one.
func (m *Metrics) connectionClosed(e attemptEnd) {
	if e.closed {
		m.closedConnections.Add(cmp.Or(string(e.result), "caller_left"), 1)
	}
}

func (m *Metrics) panicked() { m.panics.Add(1) }

func (m *Metrics) decidedLate() { m.lateDecisions.Add(1) }

func (m *Metrics) admissionRefused(reason messenger.Reason, inputs messenger.DecisionInputs) {
	m.admissionRefusals.Add(string(reason), 1)
	m.admissionWaits.record(inputs.Predicted)
	m.predictionError.Set(inputs.PredictionError)
}

func (m *Metrics) pathTried(e messenger.PathTried) {
	if e.Direct.Failed() {
		m.directFailures.Add(1)
	}
	for _, p := range e.Peers {
		m.tunnels.Add(string(p.Result), 1)
	}
}

func (m *Metrics) recordFirstEvent(d timekeeper.Duration) { m.firstEvents.record(d) }

func (m *Metrics) ended(status int, result messenger.AttemptResult, elapsed timekeeper.Duration) {
	m.statuses.Add(strconv.Itoa(status), 1)
	m.results.Add(string(result), 1)
	m.totals.record(elapsed)
}

// latencyHistogram is a histogram published as an expvar variable, with quantiles in
// milliseconds.
type latencyHistogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

var _ expvar.Var = (*latencyHistogram)(nil)

func (l *latencyHistogram) init() { l.h = hdrhistogram.New(1, maxLatency, latencyDigits) }

func (l *latencyHistogram) record(d timekeeper.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Values out of range are clamped, so RecordValue can't fail.
	_ = l.h.RecordValue(min(max(int64(d), 1), maxLatency))
}

// String returns the count and quantiles as JSON.
func (l *latencyHistogram) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, err := json.Marshal(map[string]int64{
		"count": l.h.TotalCount(),
		"p50":   l.h.ValueAtQuantile(50),
		"p95":   l.h.ValueAtQuantile(95),
		"p99":   l.h.ValueAtQuantile(99),
		"max":   l.h.Max(),
	})
	if err != nil {
		return "{}"
	}
	return string(text)
}
