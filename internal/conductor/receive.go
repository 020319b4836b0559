package conductor

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Receive admits or refuses a request. A refused request is not kept.
func (c *Conductor) Receive(env *Env, spec messenger.RequestSpec) []messenger.Effect {
	if _, known := c.requests[spec.Request]; known {
		return nil
	}
	service, refusal := c.screen(env, spec)
	if refusal.Reason != messenger.ReasonNone {
		return c.refuseNew(spec, refusal)
	}
	c.arrivals[service.Pool]++
	r := newRequest(spec, service)
	if refusal := c.admit(env, r); refusal.Reason != messenger.ReasonNone {
		return c.refuseNew(spec, refusal)
	}
	c.requests[spec.Request] = r
	if r.needsClaim() && c.config.Safeguards.ClaimFirst {
		return c.beginClaim(env, r)
	}
	return c.holdOrAccept(env, r)
}

// screen performs the checks that do not depend on backend servers.
func (c *Conductor) screen(env *Env, spec messenger.RequestSpec) (catalog.Service, messenger.Refusal) {
	switch {
	case env.Catalog == nil:
		return catalog.Service{}, notRun(messenger.ReasonNoConfiguration, retryAfterNoConfiguration)
	case c.draining:
		return catalog.Service{}, notRun(messenger.ReasonLeaving, retryAfterLeaving)
	case !env.Now.Before(spec.Deadline):
		return catalog.Service{}, notRun(messenger.ReasonDeadlineExpired, 0)
	case len(c.requests) >= c.config.MaxRequests:
		return catalog.Service{}, notRun(messenger.ReasonOverload, retryAfterNoServer)
	}
	service, ok := env.Catalog.Services[spec.Service]
	if !ok {
		return catalog.Service{}, notRun(messenger.ReasonUnknownService, 0)
	}
	if after, refused := env.Quarantine.Refuses(env.Now, fingerprint(spec)); refused {
		return catalog.Service{}, notRun(messenger.ReasonServersEnded, after)
	}
	return service, messenger.Refusal{}
}

// admit checks with the router whether the request can be served in time, and
// with the limiter whether its account is within its limits.
func (c *Conductor) admit(env *Env, r *request) messenger.Refusal {
	choice, ok := c.chooseServer(env, r)
	if !ok {
		return notRun(messenger.ReasonNoServer, retryAfterNoServer)
	}
	free, slots, queued := c.poolLoad(env, r.service.Pool)
	r.reservedTokens = r.spec.PromptTokens + r.spec.MaxTokens
	verdict := env.Limits.Admit(env.Now, limiter.Request{
		Account:   r.spec.Account,
		Service:   r.spec.Service,
		Priority:  r.service.Priority,
		Tokens:    r.reservedTokens,
		Deadline:  r.spec.Deadline,
		Predicted: choice.Predicted.Completion,
		Target:    env.Catalog.Target(r.spec.Account, r.spec.Service),
		FreeSlots: free,
		Slots:     slots,
		Waiting:   queued,
	})
	if !verdict.OK {
		return notRun(verdict.Reason, verdict.RetryAfter)
	}
	env.Budgets.Requested(env.Now, r.spec.Service, r.service.RetryPercent)
	return messenger.Refusal{}
}

// holdOrAccept continues a request that needs no claim or has won it.
func (c *Conductor) holdOrAccept(env *Env, r *request) []messenger.Effect {
	if r.spec.Long && c.config.Safeguards.HoldFirst {
		return c.beginHold(env, r)
	}
	return c.accept(env, r)
}

// accept guarantees the complete answer and sends the first attempt.
func (c *Conductor) accept(env *Env, r *request) []messenger.Effect {
	r.accepted = true
	c.counters.Accepted++
	out := []messenger.Effect{
		messenger.Accept{Request: r.spec.Request},
		c.timelineEntry("accepted", r, ""),
	}
	return append(out, c.startAttempt(env, r)...)
}

// serviceConfig returns the current configuration of a service named by a peer.
func serviceConfig(env *Env, name identifier.ServiceName) (catalog.Service, bool) {
	if env.Catalog == nil {
		return catalog.Service{}, false
	}
	s, ok := env.Catalog.Services[name]
	return s, ok
}
