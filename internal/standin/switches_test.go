package standin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/standin"
)

type faults struct {
	Down bool `json:"down"`
	Slow bool `json:"slow"`
}

// callbackReader calls before at the first read.
type callbackReader struct {
	io.Reader
	before func()
}

func (r *callbackReader) Read(p []byte) (int, error) {
	if r.before != nil {
		r.before()
		r.before = nil
	}
	return r.Reader.Read(p)
}

// Guards against losing a change that arrives while the body of another is read.
func TestSwitchesKeepConcurrentChange(t *testing.T) {
	var s standin.Switches[faults]
	body := &callbackReader{
		Reader: strings.NewReader(`{"slow":true}`),
		before: func() { s.Update(func(f *faults) { f.Down = true }) },
	}
	response := httptest.NewRecorder()
	s.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/", body))
	require.Equal(t, http.StatusOK, response.Code)
	require.Equal(t, faults{
		Down: true,
		Slow: true,
	}, s.Get())
}

func TestSwitchesRejectUnknownSetting(t *testing.T) {
	var s standin.Switches[faults]
	response := httptest.NewRecorder()
	s.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(`{"down":true,"broken":true}`)))
	require.Equal(t, http.StatusBadRequest, response.Code)
	require.Zero(t, s.Get())
}
