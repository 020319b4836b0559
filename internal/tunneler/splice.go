package tunneler

import (
	"context"
	"io"
	"net"
	"time"
)

// splice copies bytes between a node and a server until the node closes its connection, or
// either one breaks. It returns the bytes copied in each direction.
func splice(ctx context.Context, node *net.TCPConn, server net.Conn) (toServer, toNode int64) {
	// The end of the node's bytes is the end of the tunnel: a node never half-closes.
	fromNode := copyBytes(ctx, server, node)
	fromServer := copyBytes(ctx, node, server)
	select {
	case c := <-fromNode:
		_ = server.Close()
		return c.n, (<-fromServer).n
	case c := <-fromServer:
		if c.err == nil && node.CloseWrite() == nil {
			_ = node.SetReadDeadline(time.Now().Add(closeTimeout))
			toServer = (<-fromNode).n
			return toServer, c.n
		}
		_ = node.Close()
		return (<-fromNode).n, c.n
	}
}

// copied is the result of copying. Its error is nil at the orderly end of the source.
type copied struct {
	n   int64
	err error
}

// copyBytes copies in a goroutine and reports its end on the channel that it returns.
// If ctx ends, both connections are closed.
func copyBytes(ctx context.Context, to io.WriteCloser, from io.ReadCloser) <-chan copied {
	end := make(chan copied, 1)
	go func() {
		stop := context.AfterFunc(ctx, func() {
			_ = to.Close()
			_ = from.Close()
		})
		defer stop()
		var c copied
		// The wrappers keep io.CopyBuffer from using splice, whose pipes would count
		// towards the limit on file descriptors.
		c.n, c.err = io.CopyBuffer(onlyWriter{to}, onlyReader{from}, make([]byte, copyBuffer))
		end <- c
	}()
	return end
}

type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }
