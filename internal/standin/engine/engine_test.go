package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// newTestEngine returns an engine that advances only through calls of step.
func newTestEngine(c Config) (*Engine, *timekeeper.Manual) {
	clock := timekeeper.NewManual(1_000_000)
	c.Clock = clock
	c.Model = "report"
	return New(c), clock
}

// startStream starts a stream with a prompt of the given number of tokens.
func startStream(t *testing.T, e *Engine, name identifier.StreamName, prompt identifier.Tokens, change func(*encoder.GenerateRequest)) *stream {
	t.Helper()
	r := encoder.GenerateRequest{
		Stream:       name,
		Model:        "report",
		Prompt:       string(name),
		PromptTokens: prompt,
		MaxTokens:    10,
	}
	if change != nil {
		change(&r)
	}
	require.NoError(t, validate(&r))
	s, err := e.start(r)
	require.NoError(t, err)
	return s
}

// runFor advances the engine by span in steps of ten milliseconds.
func runFor(e *Engine, clock *timekeeper.Manual, span timekeeper.Duration) {
	const each = 10 * timekeeper.Millisecond
	for ; span > 0; span -= each {
		clock.Advance(each)
		e.step(each.Std())
	}
}

func TestSlotsAreAssignedByPriority(t *testing.T) {
	e, clock := newTestEngine(Config{Slots: 1})
	first := startStream(t, e, "first", 4, nil)
	runFor(e, clock, 10)
	batch := startStream(t, e, "batch", 4, nil)
	urgent := startStream(t, e, "urgent", 4, func(r *encoder.GenerateRequest) { r.Priority = 2 })
	require.Equal(t, stateRunning, first.state)
	for first.state == stateRunning {
		runFor(e, clock, 10)
	}
	require.Equal(t, stateWaiting, batch.state)
	require.Equal(t, stateRunning, urgent.state)
}

func TestRateFallsWithBatchSize(t *testing.T) {
	alone, clock := newTestEngine(Config{TokensPerSecond: 100})
	s := startStream(t, alone, "a", 4, func(r *encoder.GenerateRequest) { r.MaxTokens = 10000 })
	runFor(alone, clock, timekeeper.Second)
	full, clock := newTestEngine(Config{TokensPerSecond: 100})
	var last *stream
	for _, name := range []identifier.StreamName{"1", "2", "3", "4", "5", "6", "7", "8"} {
		last = startStream(t, full, name, 4, func(r *encoder.GenerateRequest) { r.MaxTokens = 5000 })
	}
	runFor(full, clock, timekeeper.Second)
	require.InDelta(t, 100, len(s.tokens), 5)
	require.InDelta(t, 70, len(last.tokens), 5)
}

func TestCacheShortensPrefill(t *testing.T) {
	e, clock := newTestEngine(Config{CacheBlocks: 4})
	prompt := func(blocks ...identifier.PrefixHash) func(*encoder.GenerateRequest) {
		return func(r *encoder.GenerateRequest) { r.Prefix = blocks }
	}
	cold := startStream(t, e, "cold", 128, prompt(1, 2))
	runFor(e, clock, 500)
	warm := startStream(t, e, "warm", 128, prompt(1, 3))
	runFor(e, clock, 500)
	require.Equal(t, identifier.Tokens(128), cold.prefilledTokens)
	require.Equal(t, identifier.Tokens(64), warm.prefilledTokens)
	startStream(t, e, "flood", 256, prompt(6, 7, 8, 9))
	runFor(e, clock, 500)
	forgotten := startStream(t, e, "forgotten", 128, prompt(1, 2))
	runFor(e, clock, 500)
	require.Equal(t, identifier.Tokens(128), forgotten.prefilledTokens)
}

func TestCacheEventsAreDelayedAndDropped(t *testing.T) {
	c := newPrefixCache(2)
	c.add([]identifier.PrefixHash{1, 2}, 100)
	c.add([]identifier.PrefixHash{3}, 200)
	require.Len(t, c.eventsSince(0, 150, 0), 2)
	events := c.eventsSince(2, 200, 0)
	require.Len(t, events, 2)
	require.Equal(t, identifier.PrefixHash(2), events[1].Hash, "later blocks are evicted first")
	require.True(t, events[1].Evicted)
	require.Len(t, c.eventsSince(0, 200, 2), 2)
}

// A stream without readers continues so that another node can resume it, but must
// not run forever.
func TestOrphanedStreamEnds(t *testing.T) {
	e, clock := newTestEngine(Config{
		TokensPerSecond: 1,
		OrphanTimeout:   5 * timekeeper.Second,
		Retention:       timekeeper.Second,
	})
	s := startStream(t, e, "a", 4, func(r *encoder.GenerateRequest) { r.MaxTokens = 1000 })
	runFor(e, clock, 20*timekeeper.Second)
	require.Equal(t, stateRunning, s.state)
	e.removeReader(s)
	runFor(e, clock, 4*timekeeper.Second)
	require.Equal(t, stateRunning, s.state)
	runFor(e, clock, 2*timekeeper.Second)
	require.Equal(t, stateOrphaned, s.state)
	require.Zero(t, e.kvUsed)
	runFor(e, clock, 2*timekeeper.Second)
	require.Empty(t, e.streams)
}

func TestStreamExpiredInQueueDidNotRun(t *testing.T) {
	e, clock := newTestEngine(Config{Slots: 1})
	startStream(t, e, "long", 4, func(r *encoder.GenerateRequest) { r.MaxTokens = 1000 })
	runFor(e, clock, 10)
	s := startStream(t, e, "late", 4, func(r *encoder.GenerateRequest) { r.DeadlineMS = 50 })
	runFor(e, clock, 100)
	require.Equal(t, stateExpired, s.state)
	require.False(t, s.wasStarted)
	require.Equal(t, 1, e.Ledger().StreamsRun)
}

func TestFrozenEngineMakesNoProgress(t *testing.T) {
	e, clock := newTestEngine(Config{})
	s := startStream(t, e, "a", 4, nil)
	e.SetFaults(func(f *Faults) { f.Freeze = true })
	runFor(e, clock, 5*timekeeper.Second)
	require.Empty(t, s.tokens)
	e.SetFaults(func(f *Faults) { f.Freeze = false })
	runFor(e, clock, 5*timekeeper.Second)
	require.Equal(t, standin.Tokens("a", 10), s.tokens)
}

func TestExportsShareTheLinkInTurn(t *testing.T) {
	e, clock := newTestEngine(Config{
		KVBytesPerToken: 1000,
		TransferRate:    100_000,
	})
	for _, name := range []identifier.StreamName{"a", "b"} {
		startStream(t, e, name, 99, func(r *encoder.GenerateRequest) { r.MaxTokens = 1000 })
	}
	for range 10 {
		e.step(10 * time.Millisecond)
	}
	clock.Advance(100)
	_, first, ok := e.snapshotKV("a")
	require.True(t, ok)
	_, second, ok := e.snapshotKV("b")
	require.True(t, ok)
	require.Greater(t, first, timekeeper.Second-1)
	require.Greater(t, second, 2*first-100)
}
