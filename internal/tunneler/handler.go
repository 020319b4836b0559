package tunneler

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// connectTimeout bounds the connection to the server. It is shorter than openTimeout,
	// so that the node that asks learns that the server is unreachable.
	connectTimeout = 150 * time.Millisecond
	// closeTimeout is the time that a node has to close a tunnel whose server has ended
	// its bytes. The node may still be reading them.
	closeTimeout = 5 * time.Second
	// copyBuffer is the size of a tunnel's buffer for one direction.
	copyBuffer = 8 << 10
	// refusalHeader is the header that holds the reason for which no tunnel is opened.
	refusalHeader = "Tunnel-Refusal"
)

// Admitter decides which tunnels a node opens. Its methods are called from many goroutines.
type Admitter interface {
	// AdmitTunnel decides on a tunnel to an address, for a node that asks from a host.
	AdmitTunnel(ctx context.Context, from identifier.VMID, host, address string) messenger.TunnelAnswer
	// PathTried takes the result of connecting to the server.
	PathTried(ctx context.Context, e messenger.PathTried)
	// TunnelEnded takes the end of an admitted tunnel.
	TunnelEnded()
}

// HandlerConfig holds the dependencies of a handler.
type HandlerConfig struct {
	Admitter Admitter
	Logger   hclog.Logger
	// Next serves all requests other than CONNECT.
	Next http.Handler
}

// NewHandler returns the handler of the peer port that serves tunnels.
func NewHandler(c HandlerConfig) http.Handler {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	d := dialer.New(dialer.Config{MaxUnacked: dialer.ServerMaxUnacked})
	d.Timeout = connectTimeout
	return &handler{
		config: c,
		dial:   dialer.DetectResets(d.DialContext),
	}
}

type handler struct {
	config HandlerConfig
	dial   dialer.DialFunc
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		h.config.Next.ServeHTTP(w, r)
		return
	}
	from := identifier.VMID(r.Header.Get(nodeHeader))
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		h.refuse(w, from, r.Host, http.StatusForbidden, messenger.TunnelNotMember)
		return
	}
	answer := h.config.Admitter.AdmitTunnel(r.Context(), from, host, r.Host)
	switch answer.Refusal {
	case "":
		defer h.config.Admitter.TunnelEnded()
		h.tunnel(w, r, from, answer.Server)
	case messenger.TunnelNotMember, messenger.TunnelNotPublished:
		h.refuse(w, from, r.Host, http.StatusForbidden, answer.Refusal)
	default:
		h.refuse(w, from, r.Host, http.StatusServiceUnavailable, answer.Refusal)
	}
}

func (h *handler) refuse(w http.ResponseWriter, from identifier.VMID, address string, status int, reason messenger.TunnelRefusal) {
	h.config.Logger.Info("tunnel refused", "from", from, "address", address, "reason", reason)
	w.Header().Set(refusalHeader, string(reason))
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// tunnel connects to a server and copies bytes until either side ends.
func (h *handler) tunnel(w http.ResponseWriter, r *http.Request, from, server identifier.VMID) {
	upstream, err := h.dial(r.Context(), "tcp", r.Host)
	result := Result(err)
	h.config.Admitter.PathTried(r.Context(), messenger.PathTried{
		Server: server,
		Direct: result,
	})
	if err != nil {
		h.config.Logger.Info("tunnel failed", "from", from, "server", server, "address", r.Host, "result", result, "error", err)
		w.Header().Set("Connection", "close")
		w.WriteHeader(statusOf(result))
		return
	}
	defer func() { _ = upstream.Close() }()
	node, err := accept(w)
	if err != nil {
		h.config.Logger.Warn("tunnel failed", "from", from, "server", server, "address", r.Host, "error", err)
		return
	}
	defer func() { _ = node.Close() }()
	began := time.Now()
	toServer, toNode := splice(r.Context(), node, upstream)
	h.config.Logger.Info("tunnel ended", "from", from, "server", server, "address", r.Host,
		"bytes_to_server", toServer, "bytes_to_node", toNode, "took_ms", time.Since(began).Milliseconds())
}

// Result classifies the error of a direct connection to a server.
func Result(err error) messenger.ConnectResult {
	switch {
	case err == nil:
		return messenger.Connected
	case dialer.Refused(err):
		return messenger.ConnectRefused
	}
	return messenger.ConnectUnreachable
}

func statusOf(result messenger.ConnectResult) int {
	for status, r := range results {
		if r == result {
			return status
		}
	}
	return http.StatusServiceUnavailable
}

// accept takes the node's connection over from the HTTP server and confirms the tunnel.
func accept(w http.ResponseWriter) (*net.TCPConn, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	node, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, &ConnTypeError{}
	}
	if err := prepare(node); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return node, nil
}

func prepare(node *net.TCPConn) error {
	if err := node.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if err := dialer.Configure(node, dialer.Config{MaxUnacked: dialer.ServerMaxUnacked}); err != nil {
		return err
	}
	// Any close that no CloseWrite precedes resets the connection, also if the kernel
	// closes it at the end of the process.
	if err := node.SetLinger(0); err != nil {
		return err
	}
	_, err := io.WriteString(node, "HTTP/1.1 200 OK\r\n\r\n")
	return err
}

var _ error = (*ConnTypeError)(nil)

// ConnTypeError reports that a peer's connection is not a TCP connection.
type ConnTypeError struct{}

func (e *ConnTypeError) Error() string { return "connection of the peer is not a TCP connection" }
