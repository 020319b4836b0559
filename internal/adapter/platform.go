package adapter

import "github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"

// PlatformConfig configures the clients of the platform.
type PlatformConfig struct {
	// Address is the platform's host:port.
	Address  string
	Timeouts Timeouts
	// Clock dates what the platform reports by age or by time left.
	Clock timekeeper.Clock
}

func (c PlatformConfig) clock() timekeeper.Clock {
	if c.Clock == nil {
		return timekeeper.System{}
	}
	return c.Clock
}

// platformClient is what the clients of the log and of the cloud have in
// common: calls that read reuse connections, those with an effect never do.
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

// Close ends the idle connections.
func (c *platformClient) Close() {
	c.readers.close()
	c.writers.close()
}
