// Package sharer divides the capacity of a service between the client accounts that ask
// for it.
//
// While a service has headroom, nothing is limited. Once the accounts offer more work
// than its servers can do, each account has a share: a weighted max-min division of the
// servers, in work and not in requests, within each rank of accounts. What an account
// does not ask for goes to the others. Of an account that offers more than its share, the
// fraction of requests beyond it is marked as excess, at every node alike, so that it does
// not matter at which nodes the account's callers are.
//
//   - sharer.go decides whether a service is short of capacity, and what is excess.
//   - divide.go divides capacity.
//   - meter.go measures the work that one node's callers offer.
//
// All nodes compute the same shares from the sum of what they report to each other. A node
// that does not receive reports sees too little work for a shortage and limits nothing.
//
// The package is pure: time and randomness are arguments. Nothing in it is safe for
// concurrent use.
package sharer

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// shortageStart and shortageEnd are the utilizations at which a service becomes short
	// of capacity and no longer is. Near the first one requests begin to wait for each
	// other; the second keeps a service from changing state with single prompts.
	shortageStart = 0.95
	shortageEnd   = 0.8
	// maxServices limits the services whose state is remembered.
	maxServices = 1024
)

// Service is what is known of a service and of the work that is offered to it.
type Service struct {
	// Servers is the number of servers that accept requests.
	Servers int
	// Slots is the number of requests that they process at once, or zero if it is not
	// known. Running is the number of requests sent to them that have not ended.
	Slots   int
	Running int
	// Served is the work that the servers began lately, in servers.
	Served float64
	// Claims are the accounts that ask for the service.
	Claims []Claim
}

// Sharer holds the shares of each service. The zero value is not usable; use New.
type Sharer struct {
	services map[identifier.ServiceName]*division
}

// division is the state of one service.
type division struct {
	short bool
	// excess is the fraction of an account's work beyond its share.
	excess map[identifier.AccountHash]float64
}

// New returns a Sharer that limits nothing.
func New() *Sharer {
	return &Sharer{services: map[identifier.ServiceName]*division{}}
}

// Update divides a service by its current state.
func (s *Sharer) Update(name identifier.ServiceName, service Service) {
	d := s.services[name]
	if d == nil {
		if len(s.services) >= maxServices {
			return
		}
		d = &division{}
		s.services[name] = d
	}
	offered := 0.0
	for _, c := range service.Claims {
		offered += c.Load
	}
	d.short = service.isShort(offered, d.short)
	d.excess = nil
	if d.short {
		d.excess = excess(service.capacity(), service.Claims)
	}
}

// isShort reports whether the service is short of capacity, given whether it was.
func (s Service) isShort(offered float64, wasShort bool) bool {
	if s.Servers <= 0 {
		return false
	}
	utilization := offered / float64(s.Servers)
	if s.Slots > 0 {
		utilization = max(utilization, float64(s.Running)/float64(s.Slots))
	}
	if wasShort {
		return utilization >= shortageEnd
	}
	return utilization >= shortageStart
}

// capacity returns the work that the servers can do. While all slots are taken, the
// servers begin as much as they can, which is less than all of their time if answers
// occupy slots for long.
func (s Service) capacity() float64 {
	capacity := float64(s.Servers) * shortageStart
	if s.Slots > 0 && s.Running >= s.Slots && s.Served > 0 {
		capacity = min(capacity, s.Served)
	}
	return capacity
}

// Short reports whether a service is short of capacity.
func (s *Sharer) Short(service identifier.ServiceName) bool {
	d := s.services[service]
	return d != nil && d.short
}

// Excess returns the fraction of an account's requests that are beyond its share of a
// service.
func (s *Sharer) Excess(service identifier.ServiceName, account identifier.AccountHash) float64 {
	d := s.services[service]
	if d == nil {
		return 0
	}
	return d.excess[account]
}
