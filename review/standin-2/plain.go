package main

import (
	"encoding/json"
	"io"
	"net/http"
)

// plainServer is a server of a plain service. It answers each request with its service's name.
type plainServer struct {
	id, service string
	record      *record
}

func startPlain(w *world, id, service string) error {
	address, err := serve(&plainServer{
		id:      id,
		service: service,
		record:  w.record,
	})
	if err != nil {
		return err
	}
	entry, err := json.Marshal(map[string]any{
		"service":           service,
		"address":           address,
		"zone":              "boston-a",
		"version":           "v1",
		"slots":             6,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"sequence":          1,
	})
	if err != nil {
		return err
	}
	w.store.Put("keyed.servers", id, entry)
	return nil
}

// ServeHTTP implements http.Handler.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Dotterelhollow-Request-Id")
	w.Header().Set("Dotterelhollow-Request-Id", id)
	if want := r.Header.Get("Dotterelhollow-Expected-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.record.line("%s  %s of service %s runs %s", s.id, s.id, s.service, id)
	w.Header().Set("Dotterelhollow-Response-Signature", s.id+"."+id)
	_, _ = io.WriteString(w, s.service)
}
