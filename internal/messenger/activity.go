package messenger

// ServerActivity is what the process of a server does that sends nothing on a connection.
type ServerActivity string

// The activities of a server.
const (
	// ServerResponds: it answers on another connection, so that it also sees which
	// connections are closed.
	ServerResponds ServerActivity = "responds"
	// ServerUnresponsive: its VM accepts connections, but the process does not answer. It may
	// be paused, and then goes on with what it runs.
	ServerUnresponsive ServerActivity = "unresponsive"
	// ServerUnreachable: no connection can be opened.
	ServerUnreachable ServerActivity = "unreachable"
	// ServerRefuses: its VM refuses connections, since the process has ended.
	ServerRefuses ServerActivity = "refuses"
)
