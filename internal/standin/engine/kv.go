package engine

import (
	"bytes"
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
		encoder.WriteProblem(w, http.StatusNotFound, encoder.Problem{Error: "unknown stream"})
		return
	}
	if !standin.Pause(r.Context(), wait.Std()) {
		return
	}
	if fault := push(r, request.ToAddress, kv); fault != "" {
		encoder.WriteProblem(w, http.StatusBadGateway, encoder.Problem{Error: fault})
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

// push gives the copy to the other engine and names what went wrong.
func push(r *http.Request, address string, kv encoder.KV) string {
	body, err := json.Marshal(kv)
	if err != nil {
		return err.Error()
	}
	target := fmt.Sprintf("http://%s/kv/%s", address, url.PathEscape(string(kv.Stream)))
	request, err := http.NewRequestWithContext(r.Context(), http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	client := &http.Client{Timeout: pushTimeout}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusNoContent {
		return "import: " + response.Status
	}
	return ""
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
