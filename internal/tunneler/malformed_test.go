package tunneler_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/answerreader"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/tunneler"
)

// Guards against a tunnel to an address that is no longer a peer's.
func TestMalformedAnswerOpensNoTunnel(t *testing.T) {
	for name, answer := range map[string]string{
		"status":  "HTTP/1.1 000 None\r\n\r\n",
		"version": "HTTP/9.9 200 OK\r\n\r\n",
		"name":    "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			peer := messenger.PathPeer{
				Node: "entry-2",
				Address: startServer(t, func(c *net.TCPConn) {
					_, _ = io.WriteString(c, answer)
					_, _ = io.Copy(io.Discard, c)
				}),
			}
			tunnel, err := tunneler.NewOpener("entry-1").Open(t.Context(), peer, "10.0.0.1:80")
			if err == nil {
				require.NoError(t, tunnel.Close())
			}
			var malformed *answerreader.MalformedError
			require.ErrorAs(t, err, &malformed)
		})
	}
}
