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

// AddressError reports an address that is not a loopback IP address with a
// port. The load tool must never be pointed at a foreign host.
type AddressError struct {
	Address string
	Cause   error
}

func (e *AddressError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("address %q: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("address %q: expected a loopback IP address", e.Address)
}

func (e *AddressError) Unwrap() error { return e.Cause }

// checkAddresses returns an error for the first address that is not loopback.
// It skips empty addresses.
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
	dialTimeout = time.Second
	idleTimeout = 5 * time.Second
	// maxIdleConnections is a client's limit of idle connections per node.
	maxIdleConnections = 8
)

// loopbackTransport connects to loopback addresses only. A node's address list
// or redirect may contain any address: without this check one misconfigured
// node could direct the load at a foreign host.
func loopbackTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if err := checkAddress(address); err != nil {
				return nil, err
			}
			return dialer.DialContext(ctx, network, address)
		},
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConnections,
	}
}
