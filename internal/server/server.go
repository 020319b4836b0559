package server

import (
	"fmt"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/kataras/iris/v12"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Headers of the protocol for callers and operators.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Deadline-Ms"
	HeaderRequestID      = "Request-Id"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderOutcome        = "Outcome"
	HeaderBaseRevision   = "Saw-Revision"
)

// Config configures a Server.
type Config struct {
	Backend Backend
	Logger  hclog.Logger
	Clock   timekeeper.Clock
	Limits  Limits
}

// Server answers callers and operators over HTTP.
type Server struct {
	backend Backend
	logger  hclog.Logger
	clock   timekeeper.Clock
	limits  Limits
	app     *iris.Application
}

var _ http.Handler = (*Server)(nil)

// BuildError reports that the routes could not be built.
type BuildError struct{ Cause error }

func (e *BuildError) Error() string { return fmt.Sprintf("building routes: %v", e.Cause) }

func (e *BuildError) Unwrap() error { return e.Cause }

var _ error = (*BuildError)(nil)

// New returns a server for c.Backend. Its error is a *BuildError.
func New(c Config) (*Server, error) {
	s := &Server{
		backend: c.Backend,
		logger:  c.Logger,
		clock:   c.Clock,
		limits:  c.Limits.withDefaults(),
		app:     newApplication(),
	}
	if s.logger == nil {
		s.logger = hclog.NewNullLogger()
	}
	if s.clock == nil {
		s.clock = timekeeper.System{}
	}
	s.route()
	if err := s.app.Build(); err != nil {
		return nil, &BuildError{Cause: err}
	}
	return s, nil
}

// newApplication returns an iris application without a log, a banner, an
// interrupt handler, and redirects of paths with a trailing slash.
func newApplication() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(
		iris.WithoutBanner,
		iris.WithoutStartupLog,
		iris.WithoutInterruptHandler,
		iris.WithoutPathCorrection,
		iris.WithFireMethodNotAllowed,
		iris.WithoutServerError(http.ErrServerClosed),
	)
	return app
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.limitBodyTime(w, r)
	s.app.ServeHTTP(w, r)
}

// HTTPServer returns an HTTP server with s as its handler and with the timeouts
// that s relies on. It has no write timeout for a whole response, because a
// stream may last for minutes; s sets a deadline for each write instead.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.limits.HeaderTimeout.Std(),
		IdleTimeout:       s.limits.IdleTimeout.Std(),
		MaxHeaderBytes:    int(s.limits.MaxHeaderSize),
		ErrorLog: s.logger.StandardLogger(&hclog.StandardLoggerOptions{
			InferLevels: false,
			ForceLevel:  hclog.Debug,
		}),
	}
}

func (s *Server) route() {
	s.app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		newProblem(http.StatusNotFound, ReasonNotFound, "no such path").write(ctx)
	})
	s.app.OnErrorCode(http.StatusMethodNotAllowed, func(ctx iris.Context) {
		newProblem(http.StatusMethodNotAllowed, ReasonMethodNotAllowed, "the path has no %s", ctx.Method()).write(ctx)
	})

	callers := s.app.Party("/v1", s.limitWriteTime)
	callers.Get("/addresses", s.authenticated(s.addresses))
	callers.Post("/chat/completions", s.authenticated(s.complete))
	callers.Get("/requests/{request:string}", s.authenticated(s.reattach))
	callers.Delete("/requests/{request:string}", s.authenticated(s.cancel))
	callers.Get("/services/{service:string}/{path:path}", s.authenticated(s.call))
	callers.Post("/services/{service:string}/{path:path}", s.authenticated(s.call))

	operators := s.app.Party("/operator/v1", s.limitWriteTime, s.operatorOnly)
	operators.Get("/config", s.showConfig)
	operators.Get("/config/history", s.showHistory)
	operators.Post("/config/restore", s.restore)
	operators.Get("/config/{file:string}", s.showFile)
	operators.Put("/config/{file:string}", s.putFile)
	operators.Delete("/config/{file:string}", s.deleteFile)
	operators.Get("/status", s.status)
	operators.Get("/timeline", s.timeline)
	operators.Get("/explain/{request:string}", s.explain)
	s.app.Get("/debug/vars", s.limitWriteTime, s.operatorOnly, s.variables)
}

// authenticated returns a handler that authenticates a caller before the body
// is read.
//
// A node without a configuration knows no keys. It answers with a retryable
// refusal, because callers treat "unauthorized" as final.
func (s *Server) authenticated(next func(iris.Context, identifier.AccountID)) iris.Handler {
	return func(ctx iris.Context) {
		account, ok := s.backend.Authenticate(bearerToken(ctx.Request()))
		if !ok && !s.backend.Configured() {
			refusalProblem("", messenger.Refusal{
				Reason:     messenger.ReasonNoConfiguration,
				Outcome:    messenger.NotRun,
				RetryAfter: timekeeper.Second,
			}).write(ctx)
			return
		}
		if !ok {
			ctx.Header("WWW-Authenticate", "Bearer")
			newProblem(http.StatusUnauthorized, ReasonUnauthorized, "no client account has this key").write(ctx)
			return
		}
		next(ctx, account)
	}
}

// operatorOnly rejects requests without the operators' key.
func (s *Server) operatorOnly(ctx iris.Context) {
	if !s.backend.AuthenticateOperator(bearerToken(ctx.Request())) {
		ctx.Header("WWW-Authenticate", "Bearer")
		newProblem(http.StatusUnauthorized, ReasonUnauthorized, "this is not the operators' key").write(ctx)
		return
	}
	ctx.Next()
}
