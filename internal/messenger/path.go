package messenger

import "github.com/dotterelhollow/dotterelhollow/pkg/identifier"

// Path states how an attempt may connect to its server.
type Path struct {
	// Broken reports that this node's own connections to the server fail, so that the
	// attempt connects through a peer first.
	Broken bool
	// Isolated reports that this node reaches no server, so that the attempt connects
	// through peers only.
	Isolated bool
	// Peers are the nodes through which the attempt may connect, the preferred one first.
	Peers []PathPeer
}

// PathPeer is a node that may connect to a server for another one.
type PathPeer struct {
	Node    identifier.VMID
	Address string
}

// ConnectResult is the result of connecting to a server.
type ConnectResult string

// The results of connecting.
const (
	// ConnectNotTried: no connection was attempted.
	ConnectNotTried ConnectResult = ""
	Connected       ConnectResult = "connected"
	// ConnectRefused: the VM is reachable, but no process listens at the address.
	ConnectRefused ConnectResult = "refused"
	// ConnectUnreachable: the address did not answer in time, or reset the connection.
	ConnectUnreachable ConnectResult = "unreachable"
	// ConnectUnavailable: the peer opens no connections for this node, which tells nothing
	// about the server.
	ConnectUnavailable ConnectResult = "unavailable"
)

// Failed reports whether a connection was attempted to the server itself and failed.
func (r ConnectResult) Failed() bool { return r == ConnectRefused || r == ConnectUnreachable }

// PeerConnect is the result of connecting through a peer.
type PeerConnect struct {
	Node   identifier.VMID
	Result ConnectResult
}

// Events of the paths to servers.
type (
	// PathTried reports the connections that were attempted to a server.
	PathTried struct {
		Server identifier.VMID
		Direct ConnectResult
		Peers  []PeerConnect
	}
	// ServerProbed reports the end of a probe.
	ServerProbed struct {
		Server identifier.VMID
		Result ConnectResult
	}
	// TunnelRequested reports that a peer asks this node to connect to a server for it. Host
	// is the address from which it asks, without the port.
	TunnelRequested struct {
		Ticket  identifier.Ticket
		From    identifier.VMID
		Host    string
		Address string
	}
	// TunnelEnded reports the end of a tunnel that this node admitted.
	TunnelEnded struct{}
)

// PathFailed reports whether an attempt that was not sent says nothing about its server: no
// peer could tell whether it reaches the server.
func (e PathTried) PathFailed() bool {
	for _, p := range e.Peers {
		if p.Result != ConnectUnavailable {
			return false
		}
	}
	return len(e.Peers) > 0
}

// ServerRefuses reports whether a server's address refuses connections, after an attempt
// that could not be sent. If peers were asked, one of them must have found the same: a
// partition may refuse the connections of this node only.
func (e PathTried) ServerRefuses() bool {
	for _, p := range e.Peers {
		if p.Result == ConnectRefused {
			return true
		}
	}
	return e.Direct == ConnectRefused && len(e.Peers) == 0
}

// Effects on the paths to servers.
type (
	// ProbeServer connects to a server directly and closes the connection.
	ProbeServer struct {
		Server  identifier.VMID
		Address string
	}
	// AnswerTunnel answers a TunnelRequested event.
	AnswerTunnel struct {
		Ticket identifier.Ticket
		Answer TunnelAnswer
	}
)

// TunnelAnswer admits a tunnel, or states why not.
type TunnelAnswer struct {
	Server identifier.VMID
	// Refusal is empty if the tunnel is admitted.
	Refusal TunnelRefusal
}

// TunnelRefusal is the reason why a node opens no tunnel.
type TunnelRefusal string

// The reasons to refuse tunnels.
const (
	// TunnelNotMember: the sender is no member of the cluster, or not at this address.
	TunnelNotMember TunnelRefusal = "not_member"
	// TunnelNotPublished: no published server has the address.
	TunnelNotPublished TunnelRefusal = "not_published"
	// TunnelIsolated: this node reaches no servers itself.
	TunnelIsolated TunnelRefusal = "isolated"
	TunnelLeaving  TunnelRefusal = "leaving"
	// TunnelLimit: the maximum number of tunnels is open.
	TunnelLimit TunnelRefusal = "limit"
)

func (PathTried) eventBody()       {}
func (ServerProbed) eventBody()    {}
func (TunnelRequested) eventBody() {}
func (TunnelEnded) eventBody()     {}

func (ProbeServer) effect()  {}
func (AnswerTunnel) effect() {}
