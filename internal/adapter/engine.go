package adapter

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// ServerConfig holds the settings of the clients of backend servers.
type ServerConfig struct {
	Timeouts Timeouts
	// Clock sets the times of load reports; nil is the system clock.
	Clock timekeeper.Clock
}

func (c ServerConfig) clock() timekeeper.Clock {
	if c.Clock == nil {
		return timekeeper.System{}
	}
	return c.Clock
}

// Engine is a client of the model engines. Each method takes an engine's host:port. It
// is safe for concurrent use.
type Engine struct {
	config  ServerConfig
	streams *client
	polls   *client
}

// NewEngine returns an Engine with the given settings.
func NewEngine(c ServerConfig) *Engine {
	return &Engine{
		config:  c,
		streams: newUnpooledClient(c.Timeouts),
		polls:   newClient(c.Timeouts),
	}
}

// Close closes the idle connections.
func (e *Engine) Close() {
	e.streams.close()
	e.polls.close()
}

// StartRequest describes a stream to start.
type StartRequest struct {
	Stream       identifier.StreamName
	Model        identifier.ModelName
	Prompt       string
	PromptTokens identifier.Tokens       // counted by the engine if zero
	Prefix       []identifier.PrefixHash // computed by the engine if nil
	// AnswerSoFar holds the tokens of the answer that are already known; the stream
	// continues after them. The engine recomputes the prompt and these tokens, except
	// for what its caches hold, imported KV copies of the same prompt included.
	AnswerSoFar []string
	// MaxTokens bounds the whole answer, AnswerSoFar included.
	MaxTokens identifier.Tokens
	Priority  catalog.Priority
	// Remaining is the time until the deadline; zero means no deadline.
	Remaining timekeeper.Duration
}

// Token is one token of an answer. Index counts from 1.
type Token struct {
	Index identifier.Tokens
	Text  string
}

// Sink receives the tokens of a stream, in order and from one goroutine.
type Sink interface {
	// Started reports that the engine accepted the stream.
	Started()
	// Token receives the next token. An error ends the reading, not the engine's
	// stream, and is returned by Start or Resume.
	Token(Token) error
}

// Start starts a stream and reads it to its end. A nil error means that the answer is
// complete. Its errors are *NotSentError, *RefusedError, *ConnectionError,
// *ResponseTimeoutError, *ServerFailedError, *TokenSequenceError and those of the sink.
func (e *Engine) Start(ctx context.Context, address string, s StartRequest, timeouts ResponseTimeouts, sink Sink) error {
	req, err := postJSON(address, "/generate", encoder.GenerateRequest{
		Stream:       s.Stream,
		Model:        s.Model,
		Prompt:       s.Prompt,
		PromptTokens: s.PromptTokens,
		Prefix:       s.Prefix,
		From:         identifier.Tokens(len(s.AnswerSoFar)),
		Given:        s.AnswerSoFar,
		MaxTokens:    s.MaxTokens,
		Priority:     int(s.Priority),
		DeadlineMS:   int64(s.Remaining),
	})
	if err != nil {
		return err
	}
	return e.readStream(ctx, req, streamReader{
		stream:    s.Stream,
		lastIndex: identifier.Tokens(len(s.AnswerSoFar)),
		timeouts:  timeouts,
		sink:      sink,
	})
}

// Resume reads a stream that the engine already runs, from after the given token index
// to its end. Its errors are those of Start and *UnknownStreamError.
func (e *Engine) Resume(ctx context.Context, address string, stream identifier.StreamName, after identifier.Tokens, timeouts ResponseTimeouts, sink Sink) error {
	err := e.readStream(ctx, call{
		method:  http.MethodGet,
		address: address,
		path:    streamPath(stream) + "?from=" + strconv.FormatInt(int64(after), 10),
	}, streamReader{
		stream:    stream,
		lastIndex: after,
		timeouts:  timeouts,
		sink:      sink,
	})
	return unknownStream(err, address, stream)
}

// Cancel ends a stream at the engine. An unknown stream is not an error.
func (e *Engine) Cancel(ctx context.Context, address string, stream identifier.StreamName) error {
	err := e.streams.callJSONWithTimeout(ctx, call{
		method:  http.MethodDelete,
		address: address,
		path:    streamPath(stream),
	}, nil, 0)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil
	}
	return serverError(err)
}

// MoveKV makes an engine copy the KV cache of a stream to another engine. It has no
// timeout except that of ctx, since the duration depends on the size. Its errors are
// those of Start and *UnknownStreamError.
func (e *Engine) MoveKV(ctx context.Context, address string, stream identifier.StreamName, toAddress string) error {
	req, err := postJSON(address, streamPath(stream)+"/export", encoder.ExportRequest{ToAddress: toAddress})
	if err != nil {
		return err
	}
	return unknownStream(serverError(e.streams.callJSON(ctx, req, nil)), address, stream)
}

// Load returns the load of an engine or a plain server.
func (e *Engine) Load(ctx context.Context, address string) (messenger.ServerLoad, error) {
	return pollLoad(ctx, e.polls, e.config.clock(), address)
}

// CacheEvents holds the changes of an engine's prefix cache.
type CacheEvents struct {
	Cached  []identifier.PrefixHash
	Evicted []identifier.PrefixHash
	// Gap reports that events were lost before or between these.
	Gap bool
	// Last is the sequence number after which the next call continues.
	Last uint64
}

// CacheEvents returns the changes of an engine's prefix cache after a sequence number.
// Only the last change of each block is returned.
func (e *Engine) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var reply encoder.CacheEventsResponse
	path := "/cache_events?after=" + strconv.FormatUint(after, 10)
	if err := e.polls.get(ctx, address, path, &reply, 0); err != nil {
		return CacheEvents{}, serverError(err)
	}
	return mergeCacheEvents(reply.Events, after), nil
}

func mergeCacheEvents(events []encoder.CacheEvent, after uint64) CacheEvents {
	merged := CacheEvents{Last: after}
	final := make(map[identifier.PrefixHash]int, len(events))
	for i, event := range events {
		final[event.Hash] = i
	}
	for i, event := range events {
		merged.Gap = merged.Gap || event.Seq != merged.Last+1
		merged.Last = event.Seq
		switch {
		case final[event.Hash] != i:
		case event.Evicted:
			merged.Evicted = append(merged.Evicted, event.Hash)
		default:
			merged.Cached = append(merged.Cached, event.Hash)
		}
	}
	return merged
}

// Order sends an order to an engine. Its errors are *StaleFenceError, *NotSentError,
// *RefusedError, *ServerFailedError and *ConnectionError. It has no timeout except that
// of ctx, since loading a model may take long. The caller must check its lease
// immediately before.
func (e *Engine) Order(ctx context.Context, address string, o messenger.Order) error {
	req, err := postJSON(address, "/orders", encoder.OrderRequest{
		Kind:  o.Kind,
		Model: o.Model,
		Role:  o.Role,
		Fence: o.Fence,
	})
	if err != nil {
		return err
	}
	err = e.streams.callJSON(ctx, req, nil)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return &StaleFenceError{
			Address: address,
			Fence:   o.Fence,
		}
	}
	return serverError(err)
}

func streamPath(s identifier.StreamName) string { return "/streams/" + url.PathEscape(string(s)) }

func unknownStream(err error, address string, stream identifier.StreamName) error {
	var failed *ServerFailedError
	if errors.As(err, &failed) && failed.Status == http.StatusNotFound {
		return &UnknownStreamError{
			Address: address,
			Stream:  stream,
		}
	}
	return err
}

// maxLoadReply bounds the report of a load, in bytes. A node polls all servers at once.
const maxLoadReply = 64 << 10

func pollLoad(ctx context.Context, c *client, clock timekeeper.Clock, address string) (messenger.ServerLoad, error) {
	sentAt := clock.Now()
	var reply encoder.Load
	err := c.callJSONWithTimeout(ctx, call{
		method:   http.MethodGet,
		address:  address,
		path:     "/load",
		maxReply: maxLoadReply,
	}, &reply, 0)
	if err != nil {
		return messenger.ServerLoad{}, serverError(err)
	}
	return messenger.ServerLoad{
		// Counted from before the call, so that the report never seems newer than it
		// is.
		AsOf:            sentAt.Add(-timekeeper.Duration(reply.AgeMS)),
		Running:         reply.Running,
		Waiting:         reply.Waiting,
		Slots:           reply.Slots,
		FreeKVTokens:    reply.FreeKVTokens,
		TokensPerSecond: reply.TokensPerSecond,
		Model:           reply.Model,
		Fence:           reply.Fence,
	}, nil
}
