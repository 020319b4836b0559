package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxImports bounds the KV caches stored from other engines.
const maxImports = 64

// importedKV is a KV cache received for a stream that will continue here.
type importedKV struct {
	encoder.KV
	importedAt timekeeper.Time
}

// findImport returns the imported KV cache with the longest context that matches
// the stream.
func (e *Engine) findImport(s *stream) (importedKV, bool) {
	var best importedKV
	found := false
	for _, kv := range e.imports {
		fits := kv.Prompt == s.tokenSeed && kv.Model == s.request.Model
		if fits && (!found || kv.Context > best.Context) {
			best, found = kv, true
		}
	}
	return best, found
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var request encoder.ExportRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	kv, wait, ok := e.snapshotKV(identifier.StreamName(r.PathValue("name")))
	if !ok {
		writeUnknownStream(w)
		return
	}
	if !standin.Pause(r.Context(), wait.Std()) {
		return
	}
	if err := sendKV(r.Context(), request.ToAddress, kv); err != nil {
		encoder.WriteProblem(w, http.StatusBadGateway, encoder.Problem{Error: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// snapshotKV returns a running stream's KV cache and the time until its transfer
// ends. It reserves the engine's link, which processes transfers one at a time.
func (e *Engine) snapshotKV(name identifier.StreamName) (encoder.KV, timekeeper.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[name]
	if !ok || s.state != stateRunning || s.prefillRemaining > 0 {
		return encoder.KV{}, 0, false
	}
	now := e.config.Clock.Now()
	size := int64(s.contextTokens()) * int64(e.config.KVBytesPerToken)
	transferTime := timekeeper.Duration(size * int64(timekeeper.Second) / int64(e.config.TransferRate))
	e.linkIdleAt = max(e.linkIdleAt, now).Add(transferTime)
	kv := encoder.KV{
		Stream:  name,
		Model:   s.request.Model,
		Prompt:  s.tokenSeed,
		Prefix:  s.request.Prefix,
		Context: s.contextTokens(),
	}
	return kv, e.linkIdleAt.Sub(now), true
}

// sendTimeout bounds the HTTP request of an export, which follows the simulated
// transfer time.
const sendTimeout = 5 * time.Second

// ImportError reports that the other engine rejected a KV cache.
type ImportError struct {
	Address string
	Status  string
}

var _ error = (*ImportError)(nil)

func (e *ImportError) Error() string { return "import at " + e.Address + ": " + e.Status }

// sendKV sends a KV cache to the other engine.
func sendKV(ctx context.Context, address string, kv encoder.KV) error {
	body, err := json.Marshal(kv)
	if err != nil {
		return fmt.Errorf("encode copy: %w", err)
	}
	target := fmt.Sprintf("http://%s/kv/%s", address, url.PathEscape(string(kv.Stream)))
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("address copy: %w", err)
	}
	client := &http.Client{Timeout: sendTimeout}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("send copy: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusNoContent {
		return &ImportError{
			Address: address,
			Status:  response.Status,
		}
	}
	return nil
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv encoder.KV
	if !standin.ReadJSON(w, r, &kv) {
		return
	}
	refuse := e.switches.Get().RefuseImport
	e.mu.Lock()
	defer e.mu.Unlock()
	if refuse || kv.Model != e.model || len(e.imports) >= maxImports {
		encoder.WriteProblem(w, http.StatusConflict, encoder.Problem{Error: "copy refused"})
		return
	}
	now := e.config.Clock.Now()
	e.imports[kv.Stream] = importedKV{
		KV:         kv,
		importedAt: now,
	}
	e.cache.add(kv.Prefix, now)
	w.WriteHeader(http.StatusNoContent)
}
