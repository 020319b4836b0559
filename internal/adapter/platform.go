package adapter

import "github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"

// PlatformConfig holds the settings of the clients of the platform.
type PlatformConfig struct {
	// Address is the platform's host:port.
	Address  string
	Timeouts Timeouts
	// Clock converts ages and remaining times in the platform's answers to times; nil
	// is the system clock.
	Clock timekeeper.Clock
}

func (c PlatformConfig) clock() timekeeper.Clock {
	if c.Clock == nil {
		return timekeeper.System{}
	}
	return c.Clock
}

// platformClient is shared by the clients of the log and the cloud. Calls without
// effect reuse connections; calls with an effect never do.
type platformClient struct {
	config  PlatformConfig
	readers *client
	writers *client
}

func newPlatformClient(c PlatformConfig) platformClient {
	return platformClient{
		config:  c,
		readers: newClient(c.Timeouts),
		writers: newUnpooledClient(c.Timeouts),
	}
}

// Close closes the idle connections.
func (c *platformClient) Close() {
	c.readers.close()
	c.writers.close()
}
