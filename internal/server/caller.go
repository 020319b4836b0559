package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// AddressList lists the nodes that a caller should use.
type AddressList struct {
	Nodes []NodeAddress `json:"nodes"`
	// MaxAge is the time for which the caller may cache the list.
	MaxAge timekeeper.Duration `json:"keep_ms"`
}

func (s *Server) addresses(ctx iris.Context, account identifier.AccountID) {
	name := identifier.ServiceName(ctx.URLParam("service"))
	if _, ok := s.backend.Service(name); !ok {
		unknownServiceProblem(name).write(ctx)
		return
	}
	nodes, maxAge := s.backend.Addresses(account, name)
	writeJSON(ctx, AddressList{
		Nodes:  nodes,
		MaxAge: maxAge,
	})
}

// complete handles a request to a model service.
func (s *Server) complete(ctx iris.Context, account identifier.AccountID) {
	submission, stream, problem := s.readChat(ctx, account)
	if problem != nil {
		problem.write(ctx)
		return
	}
	s.submit(ctx, submission, stream)
}

func (s *Server) readChat(ctx iris.Context, account identifier.AccountID) (Submission, bool, *Problem) {
	options, problem := s.parseOptions(ctx.Request().Header)
	if problem != nil {
		return Submission{}, false, problem
	}
	body, problem := s.readBody(ctx, s.limits.MaxBodySize)
	if problem != nil {
		return Submission{}, false, problem
	}
	chat, problem := parseChat(body)
	if problem != nil {
		return Submission{}, false, problem
	}
	service, problem := s.lookupService(identifier.ServiceName(chat.Model), catalog.ModelService)
	if problem != nil {
		return Submission{}, false, problem
	}
	if limit := s.bodyLimit(service); identifier.Bytes(len(body)) > limit {
		return Submission{}, false, bodyTooLarge(limit)
	}
	return Submission{
		Account:   account,
		Service:   service.Name,
		Key:       options.key,
		Remaining: options.remaining,
		Prompt:    chat.prompt(),
		MaxTokens: identifier.Tokens(chat.MaxTokens),
	}, chat.Stream, nil
}

// call handles a call to a plain service.
func (s *Server) call(ctx iris.Context, account identifier.AccountID) {
	submission, problem := s.readCall(ctx, account)
	if problem != nil {
		problem.write(ctx)
		return
	}
	s.submit(ctx, submission, false)
}

func (s *Server) readCall(ctx iris.Context, account identifier.AccountID) (Submission, *Problem) {
	service, problem := s.lookupService(identifier.ServiceName(ctx.Params().Get("service")), catalog.PlainService)
	if problem != nil {
		return Submission{}, problem
	}
	options, problem := s.parseOptions(ctx.Request().Header)
	if problem != nil {
		return Submission{}, problem
	}
	body, problem := s.readBody(ctx, s.bodyLimit(service))
	if problem != nil {
		return Submission{}, problem
	}
	return Submission{
		Account:     account,
		Service:     service.Name,
		Key:         options.key,
		Remaining:   options.remaining,
		Method:      ctx.Method(),
		Path:        callPath(ctx.Params().Get("path"), ctx.Request().URL),
		ContentType: ctx.GetHeader("Content-Type"),
		Body:        body,
	}, nil
}

func callPath(path string, u *url.URL) string {
	path = "/" + strings.TrimPrefix(path, "/")
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

func (s *Server) lookupService(name identifier.ServiceName, kind catalog.ServiceKind) (catalog.Service, *Problem) {
	service, ok := s.backend.Service(name)
	if !ok {
		return service, unknownServiceProblem(name)
	}
	if service.Kind != kind {
		return service, newProblem(http.StatusBadRequest, ReasonWrongKind,
			"service %q is a %s service", name, service.Kind)
	}
	return service, nil
}

func unknownServiceProblem(name identifier.ServiceName) *Problem {
	return newProblem(http.StatusNotFound, messenger.ReasonUnknownService, "there is no service %q", name)
}

// bodyLimit returns the maximum size of a body for service, which is the lower
// of the service's and the server's limits.
func (s *Server) bodyLimit(service catalog.Service) identifier.Bytes {
	if service.MaxBody > 0 {
		return min(service.MaxBody, s.limits.MaxBodySize)
	}
	return s.limits.MaxBodySize
}

// submit passes a request to the node and writes the answer.
func (s *Server) submit(ctx iris.Context, submission Submission, stream bool) {
	answer, err := s.backend.Submit(ctx.Request().Context(), submission)
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	s.writeAnswer(ctx, answer, answerOptions{
		stream:         stream,
		after:          position{},
		verdictTimeout: s.verdictTimeout(submission),
	})
}

// verdictTimeout returns the longest wait for a verdict on a request.
func (s *Server) verdictTimeout(submission Submission) timekeeper.Duration {
	remaining := submission.Remaining
	if remaining == 0 {
		service, _ := s.backend.Service(submission.Service)
		remaining = service.Deadline
	}
	return remaining + s.limits.VerdictGrace
}

// reattach continues the answer to an earlier request after the last token that
// the caller received.
func (s *Server) reattach(ctx iris.Context, account identifier.AccountID) {
	after, problem := parseLastEvent(ctx.Request().Header)
	if problem != nil {
		problem.write(ctx)
		return
	}
	request := identifier.RequestID(ctx.Params().Get("request"))
	answer, err := s.backend.Attach(ctx.Request().Context(), request, account)
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	s.writeAnswer(ctx, answer, answerOptions{
		stream:         wantsStream(ctx.Request().Header),
		after:          after,
		verdictTimeout: s.limits.MaxDeadline,
	})
}

func wantsStream(h http.Header) bool {
	return h.Get(HeaderLastEventID) != "" || strings.Contains(h.Get("Accept"), contentTypeStream)
}

func (s *Server) cancel(ctx iris.Context, account identifier.AccountID) {
	request := identifier.RequestID(ctx.Params().Get("request"))
	if err := s.backend.Cancel(ctx.Request().Context(), request, account); err != nil {
		s.writeError(ctx, err)
		return
	}
	ctx.StatusCode(http.StatusNoContent)
}

// writeError answers a request that the node rejected or could not find.
func (s *Server) writeError(ctx iris.Context, err error) {
	var (
		notOwner  *answerer.NotOwnerError
		unknown   *answerer.UnknownRequestError
		storeFull *answerer.StoreFullError
		stopping  *answerer.NodeStoppingError
	)
	switch {
	case errors.As(err, &notOwner):
		redirect(ctx, notOwner.Address, notOwner.Request)
	case errors.As(err, &unknown):
		unknownRequestProblem(unknown.Request).write(ctx)
	case errors.As(err, &storeFull):
		refusalProblem("", messenger.Refusal{
			Reason:     messenger.ReasonOverload,
			Outcome:    messenger.NotRun,
			RetryAfter: storeFull.RetryAfter,
		}).write(ctx)
	case errors.As(err, &stopping):
		refusalProblem("", messenger.Refusal{
			Reason:     messenger.ReasonLeaving,
			Outcome:    messenger.NotRun,
			RetryAfter: timekeeper.Second,
		}).write(ctx)
	default:
		s.writeUnexpected(ctx, err)
	}
}

// unknownRequestProblem returns a problem with an unknown outcome: a node that
// does not know a request can't rule out that another node ran it.
func unknownRequestProblem(request identifier.RequestID) *Problem {
	p := newProblem(http.StatusNotFound, ReasonUnknownRequest, "no node knows this request of yours")
	p.Outcome = messenger.Unknown
	p.Request = request
	return p
}

func (s *Server) writeUnexpected(ctx iris.Context, err error) {
	if errors.Is(err, context.Canceled) {
		return // The caller disconnected.
	}
	s.logger.Error("request failed", "path", ctx.Path(), "error", err)
	p := newProblem(http.StatusInternalServerError, ReasonInternal, "the node failed to handle the request")
	p.Outcome = messenger.Unknown
	p.write(ctx)
}

// redirect redirects a caller to the node that owns its request. The status
// after a POST is 303, so that the caller sends a GET; with 307 it would send
// the body again.
func redirect(ctx iris.Context, address string, request identifier.RequestID) {
	status := http.StatusTemporaryRedirect
	if ctx.Method() == http.MethodPost {
		status = http.StatusSeeOther
	}
	ctx.Header("Location", requestURL(address, request))
	ctx.Header(HeaderRequestID, string(request))
	ctx.StatusCode(status)
}

func requestURL(address string, request identifier.RequestID) string {
	u := url.URL{
		Scheme: "http",
		Host:   address,
		Path:   "/v1/requests/" + string(request),
	}
	return u.String()
}

func writeJSON(ctx iris.Context, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		p := newProblem(http.StatusInternalServerError, ReasonInternal, "encoding the answer: %v", err)
		p.Outcome = messenger.Unknown
		p.write(ctx)
		return
	}
	ctx.Header("Content-Type", "application/json")
	writeAll(ctx, data)
}
