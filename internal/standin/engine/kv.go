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

// maxImports bounds the KV copies that an engine keeps for streams to come.
const maxImports = 64

// importedKV is a KV copy that waits for the stream that continues from it.
type importedKV struct {
	encoder.KV
	at timekeeper.Time
}

// importFor returns the largest copy that the stream can continue from.
func (e *Engine) importFor(s *stream) (importedKV, bool) {
	var best importedKV
	found := false
	for _, kv := range e.imports {
		fits := kv.Prompt == s.prompt && kv.Model == s.request.Model
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
		unknownStream(w)
		return
	}
	if !standin.Pause(r.Context(), wait.Std()) {
		return
	}
	if err := push(r.Context(), request.ToAddress, kv); err != nil {
		encoder.WriteProblem(w, http.StatusBadGateway, encoder.Problem{Error: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// snapshotKV returns a stream's KV cache and how long its transfer takes:
// transfers share the engine's link one after the other.
func (e *Engine) snapshotKV(name identifier.StreamName) (encoder.KV, timekeeper.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[name]
	if !ok || s.state != stateRunning || s.prefillLeft > 0 {
		return encoder.KV{}, 0, false
	}
	now := e.config.Clock.Now()
	size := int64(s.context()) * int64(e.config.KVBytesPerToken)
	takes := timekeeper.Duration(size * int64(timekeeper.Second) / int64(e.config.TransferRate))
	e.link = max(e.link, now).Add(takes)
	kv := encoder.KV{
		Stream:  name,
		Model:   s.request.Model,
		Prompt:  s.prompt,
		Prefix:  s.request.Prefix,
		Context: s.context(),
	}
	return kv, e.link.Sub(now), true
}

// pushTimeout bounds the part of an export that is not the transfer itself.
const pushTimeout = 5 * time.Second

// ImportError reports that the other engine did not take the copy.
type ImportError struct {
	Address string
	Status  string
}

var _ error = (*ImportError)(nil)

func (e *ImportError) Error() string { return "import at " + e.Address + ": " + e.Status }

// push gives the copy to the other engine.
func push(ctx context.Context, address string, kv encoder.KV) error {
	body, err := json.Marshal(kv)
	if err != nil {
		return fmt.Errorf("encode copy: %w", err)
	}
	target := fmt.Sprintf("http://%s/kv/%s", address, url.PathEscape(string(kv.Stream)))
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("address copy: %w", err)
	}
	client := &http.Client{Timeout: pushTimeout}
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
		KV: kv,
		at: now,
	}
	e.cache.add(kv.Prefix, now)
	w.WriteHeader(http.StatusNoContent)
}
