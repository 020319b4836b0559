package loader

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

var (
	_ error = (*AddressError)(nil)
	_ error = (*LedgerError)(nil)
	_ error = (*DeploymentError)(nil)
)

// AddressError reports an address that is not a loopback IP number with a
// port. A load tool pointed at a wrong address is an attack.
type AddressError struct {
	Address string
	Cause   error
}

func (e *AddressError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("address %q: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("address %q: expected a loopback IP number", e.Address)
}

func (e *AddressError) Unwrap() error { return e.Cause }

// checkAddresses refuses the first address that is not loopback. Empty ones are
// passed over.
func checkAddresses(addresses []string) error {
	for _, address := range addresses {
		if address == "" {
			continue
		}
		if err := checkAddress(address); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return &AddressError{
			Address: address,
			Cause:   err,
		}
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return &AddressError{Address: address}
	}
	return nil
}

const (
	dialTime = time.Second
	idleTime = 5 * time.Second
	// idleConnections is how many unused connections to a node a client keeps.
	idleConnections = 8
)

// loopbackTransport connects to loopback addresses only. A node's address list
// or redirect may name any address: without this check a wrong setting of one
// node would turn the load on a stranger.
func loopbackTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTime}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if err := checkAddress(address); err != nil {
				return nil, err
			}
			return dialer.DialContext(ctx, network, address)
		},
		IdleConnTimeout:     idleTime,
		MaxIdleConnsPerHost: idleConnections,
	}
}
