package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a call that counts as without effect because of a reply that is none.
func TestMalformedReplyIsAmbiguous(t *testing.T) {
	const end = "Content-Length: 34\r\n\r\n{\"code\":\"malformed\",\"msg\":\"other\"}"
	for name, reply := range map[string]string{
		"status":  "HTTP/1.1 000 None\r\n" + end,
		"version": "HTTP/9.9 400 Bad Request\r\n" + end,
		"name":    "HTTP/1.1 400 Bad Request\r\nA b: c\r\n" + end,
	} {
		t.Run(name, func(t *testing.T) {
			err := newDefaultClient(t).HandOver(t.Context(), startEndlessPeer(t, reply, "x"), Push{Spec: spec()})
			var peerError *PeerError
			require.ErrorAs(t, err, &peerError)
			require.Equal(t, Ambiguous, peerError.Reach)
		})
	}
}
