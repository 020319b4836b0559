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

// The headers of the callers' protocol.
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

// newApplication returns an iris application with all that the server does
// not use switched off: its log, its banner, its redirects of paths with a
// closing slash, and its own pages for error codes.
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
	s.boundBody(w, r)
	s.app.ServeHTTP(w, r)
}

// HTTPServer returns an HTTP server with s as its handler and all timeouts
// that s relies on. It has no write timeout for a whole response, because a
// stream may last for minutes; s bounds each write instead.
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
		refused(http.StatusNotFound, ReasonNotFound, "no such path").write(ctx)
	})
	s.app.OnErrorCode(http.StatusMethodNotAllowed, func(ctx iris.Context) {
		refused(http.StatusMethodNotAllowed, ReasonMethodNotAllowed, "the path has no %s", ctx.Method()).write(ctx)
	})

	callers := s.app.Party("/v1", s.boundWrites)
	callers.Get("/addresses", s.caller(s.addresses))
	callers.Post("/chat/completions", s.caller(s.complete))
	callers.Get("/requests/{request:string}", s.caller(s.reattach))
	callers.Delete("/requests/{request:string}", s.caller(s.cancel))
	callers.Get("/services/{service:string}/{path:path}", s.caller(s.call))
	callers.Post("/services/{service:string}/{path:path}", s.caller(s.call))

	operators := s.app.Party("/operator/v1", s.boundWrites, s.operatorOnly)
	operators.Get("/config", s.showConfig)
	operators.Get("/config/history", s.showHistory)
	operators.Post("/config/restore", s.restore)
	operators.Get("/config/{file:string}", s.showFile)
	operators.Put("/config/{file:string}", s.putFile)
	operators.Delete("/config/{file:string}", s.deleteFile)
	operators.Get("/status", s.status)
	operators.Get("/timeline", s.timeline)
	operators.Get("/explain/{request:string}", s.explain)
	s.app.Get("/debug/vars", s.boundWrites, s.operatorOnly, s.variables)
}

// caller authenticates a request before its body is read.
//
// A node that has no configuration yet knows no key. It says so, because a
// caller takes "unauthorized" for final, and would give up on account of a
// node that has only just started.
func (s *Server) caller(next func(iris.Context, identifier.AccountID)) iris.Handler {
	return func(ctx iris.Context) {
		account, ok := s.backend.Authenticate(bearer(ctx.Request()))
		if !ok && !s.backend.Configured() {
			problemOf("", messenger.Refusal{
				Reason:     messenger.ReasonNoConfiguration,
				Outcome:    messenger.NotRun,
				RetryAfter: timekeeper.Second,
			}).write(ctx)
			return
		}
		if !ok {
			ctx.Header("WWW-Authenticate", "Bearer")
			refused(http.StatusUnauthorized, ReasonUnauthorized, "no client account has this key").write(ctx)
			return
		}
		next(ctx, account)
	}
}

// operatorOnly lets only requests with the operators' key pass.
func (s *Server) operatorOnly(ctx iris.Context) {
	if !s.backend.AuthenticateOperator(bearer(ctx.Request())) {
		ctx.Header("WWW-Authenticate", "Bearer")
		refused(http.StatusUnauthorized, ReasonUnauthorized, "this is not the operators' key").write(ctx)
		return
	}
	ctx.Next()
}
