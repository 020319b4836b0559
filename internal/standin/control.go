package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Control is a client for the administrative endpoints of a stand-in, which set
// faults and return ledgers. Only tests and demos use it.
type Control struct {
	// Address is the stand-in's host:port.
	Address string
}

// ControlError reports that a request to a stand-in failed. Status is 0 if there
// was no response.
type ControlError struct {
	Method string
	URL    string
	Status int
	Cause  error
}

var _ error = (*ControlError)(nil)

func (e *ControlError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s %s: %v", e.Method, e.URL, e.Cause)
	}
	return fmt.Sprintf("%s %s: status %d", e.Method, e.URL, e.Status)
}

func (e *ControlError) Unwrap() error { return e.Cause }

// Get decodes the JSON at path into reply.
func (c Control) Get(ctx context.Context, path string, reply any) error {
	return c.exchange(ctx, http.MethodGet, path, nil, reply)
}

// Post sends body as JSON to path and decodes the response into reply, which may
// be nil.
func (c Control) Post(ctx context.Context, path string, body, reply any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return &ControlError{
			Method: http.MethodPost,
			URL:    path,
			Cause:  err,
		}
	}
	return c.exchange(ctx, http.MethodPost, path, text, reply)
}

// Delete deletes the resource at path.
func (c Control) Delete(ctx context.Context, path string) error {
	return c.exchange(ctx, http.MethodDelete, path, nil, nil)
}

func (c Control) exchange(ctx context.Context, method, path string, body []byte, reply any) error {
	url := "http://" + c.Address + path
	status, err := exchange(ctx, method, url, body, reply)
	if err != nil || status/100 != 2 {
		return &ControlError{
			Method: method,
			URL:    url,
			Status: status,
			Cause:  err,
		}
	}
	return nil
}

func exchange(ctx context.Context, method, url string, body []byte, reply any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || reply == nil || response.StatusCode/100 != 2 {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(text, reply)
}
