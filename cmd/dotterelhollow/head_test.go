package main

import (
	"bufio"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxHead is more than any port of a node reads of a request's head.
const maxHead = 128 << 10

// Guards against ports on which a few heads without end exhaust the memory.
func TestRequestHeadsAreBounded(t *testing.T) {
	in := newInstallation(t, 1)
	head := "GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", maxHead) + "\r\n\r\n"
	for _, p := range in.nodes[0].ports {
		t.Run(p.name, func(t *testing.T) {
			c, err := net.Dial("tcp", p.address.String())
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			written := make(chan struct{})
			go func() {
				defer close(written)
				// The write fails if the node closes the connection before it ends.
				_, _ = c.Write([]byte(head))
			}()
			line, err := bufio.NewReader(c).ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, "431")
			require.NoError(t, c.Close())
			<-written
		})
	}
}
