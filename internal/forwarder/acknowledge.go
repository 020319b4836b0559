package forwarder

import (
	"context"
	"net"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
)

// openConnections are the direct connections to servers, by address. It is safe for concurrent
// use.
type openConnections struct {
	mu        sync.Mutex
	byAddress map[string]map[*openConnection]struct{}
}

// openConnection is a connection that is tracked until it is closed.
type openConnection struct {
	net.Conn
	open    *openConnections
	address string
}

var _ net.Conn = (*openConnection)(nil)

func newOpenConnections() *openConnections {
	return &openConnections{byAddress: map[string]map[*openConnection]struct{}{}}
}

// track returns dial with its connections tracked.
func (o *openConnections) track(dial dialer.DialFunc) dialer.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &openConnection{
			Conn:    conn,
			open:    o,
			address: address,
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.byAddress[address] == nil {
			o.byAddress[address] = map[*openConnection]struct{}{}
		}
		o.byAddress[address][c] = struct{}{}
		return c, nil
	}
}

// Close implements net.Conn.
func (c *openConnection) Close() error {
	c.open.remove(c)
	return c.Conn.Close()
}

func (o *openConnections) remove(c *openConnection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byAddress[c.address], c)
	if len(o.byAddress[c.address]) == 0 {
		delete(o.byAddress, c.address)
	}
}

// acknowledges reports whether the VM at an address has acknowledged something on an open
// connection of late.
func (o *openConnections) acknowledges(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.byAddress[address] {
		if age, ok := dialer.AckAge(c.Conn); ok && age.Std() <= maxAckAge {
			return true
		}
	}
	return false
}
