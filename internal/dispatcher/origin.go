package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxOriginQueries bounds the requests that wait for the answers of peers, so that callers
	// with unknown ids do not burden these.
	maxOriginQueries = 256
	// maxSoleVersionAge is the age of the entries from which a version counts as the only one.
	// Requests are sent to a new version only when it is known for longer.
	maxSoleVersionAge timekeeper.Duration = promoter.NewVersionDelay - 500*timekeeper.Millisecond
	// maxStreamTimeouts is the number of timeouts of its route after which no caller resumes a
	// stream.
	maxStreamTimeouts = 2
	// maxSpan is the time for which a node remembers removed servers.
	maxSpan = registrar.RemovedRetention - 1*timekeeper.Second
	// anyAge permits entries of any age.
	anyAge = 24 * timekeeper.Hour
)

// resumes reports whether an exchange is for the rest of a stream that began earlier.
func (x *exchange) resumes() bool { return x.spec.Resumes && x.isResumable() }

// resume binds an exchange to the version that began its stream, or asks peers for it.
func (d *Dispatcher) resume(env Env, x *exchange) messenger.Effect {
	query := messenger.StreamQuery{
		Stream:  resumer.KeyOf(x.account, x.spec.ResumedRequest),
		Service: x.service,
		Span:    maxStreamTimeouts * x.route.Timeout,
	}
	if query.Stream == 0 {
		// Callers that state no stream do not expect several versions: it is enough that no
		// other one serves now.
		query.Span = 0
	}
	if answer := LocateStream(env, query); answer.Known {
		return d.resumeAt(env, x, answer)
	}
	peers, delay := env.OriginPeers(query.Stream)
	if len(peers) == 0 || d.originQueries >= maxOriginQueries {
		return d.refuseUnknownStream(env, x)
	}
	d.exchanges[x.spec.Exchange] = x
	d.originQueries++
	return messenger.LocateStream{
		Exchange:  x.spec.Exchange,
		Addresses: peers,
		Query:     query,
		RepeatFor: min(delay, x.deadline.Sub(env.Now)/2),
	}
}

// StreamLocated continues an exchange when peers have answered for the origin of its stream.
func (d *Dispatcher) StreamLocated(env Env, e messenger.StreamLocated) messenger.Effect {
	d.originQueries--
	x, ok := d.exchanges[e.Exchange]
	if !ok {
		return messenger.EndExchange{
			Exchange: e.Exchange,
			Reason:   messenger.ReasonCancelled,
		}
	}
	env = env.forExchange(x)
	switch {
	case !e.Known && !e.Unanswered && env.OriginsRead:
		// It can go on only when its service has had a single version for as long as streams last.
		return d.refuse(env, x.spec.Exchange, notRunRefusal(messenger.ReasonUnknownStream, x.route.Timeout))
	case !e.Known, e.Sole && !env.isSoleVersion(e.Origin):
		return d.refuseUnknownStream(env, x)
	}
	return d.resumeAt(env, x, e)
}

// isSoleVersion reports whether this node knows no other version of a service than the one
// that a peer takes for the only one. The peer's entries may be older.
func (env Env) isSoleVersion(o messenger.StreamOrigin) bool {
	v, sole := env.Servers.SoleVersion(env.Now, o.Service, 0, anyAge)
	return sole && v == o.Version
}

// resumeAt continues an exchange whose stream's origin is known.
func (d *Dispatcher) resumeAt(env Env, x *exchange, e messenger.StreamLocated) messenger.Effect {
	if e.Origin.Service != x.service {
		return d.refuseUnknownStream(env, x)
	}
	if x.deadline.Sub(env.Now) < minAttemptTime {
		return d.refuse(env, x.spec.Exchange, notRunRefusal(messenger.ReasonDeadline, 0))
	}
	x.bind(e.Origin.Version)
	return d.receive(env, x)
}

// refuseUnknownStream refuses to resume a stream that any version may have begun.
func (d *Dispatcher) refuseUnknownStream(env Env, x *exchange) messenger.Effect {
	return d.refuse(env, x.spec.Exchange, notRunRefusal(messenger.ReasonUnknownStream, jitter(env, shortRetry)))
}

// LocateStream returns the origin of a stream, as far as this node knows it.
func LocateStream(env Env, q messenger.StreamQuery) messenger.StreamLocated {
	if origin, known := env.Origins.Origin(q.Stream); known {
		return messenger.StreamLocated{
			Known:  true,
			Origin: origin,
		}
	}
	v, sole := env.Servers.SoleVersion(env.Now, q.Service, max(q.Span, promoter.NewVersionDelay), maxSoleVersionAge)
	known := sole && q.Span <= maxSpan
	if !known && q.Span == 0 {
		v, sole = env.Servers.SoleVersion(env.Now, q.Service, 0, anyAge)
	}
	return messenger.StreamLocated{
		Known: known,
		Sole:  sole && (known || q.Span == 0),
		Origin: messenger.StreamOrigin{
			Service: q.Service,
			Version: v,
		},
	}
}
