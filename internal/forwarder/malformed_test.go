package forwarder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// malformedFields are what a faulty server sends with each answer: statements that must not be
// believed, and what a sound server sends.
const malformedFields = "Limit: 1\r\nLeaving: 1\r\nId: r-1\r\nSignature: s\r\n"

// requireBroken checks that an answer is a broken attempt, also if it states that nothing ran: another
// server answers if there is one, and the caller gets 502 of the node's own if there is none.
func requireBroken(t *testing.T, answer string) {
	t.Helper()
	requireBrokenAttempt(t, answer)
	requireBrokenAttempt(t, strings.Replace(answer, "Signature: s\r\n", "Not-Run: 1\r\nSignature: s\r\n", 1))
}

// malformedPaths are the ways on which a malformed answer arrives. Any two properties occur together.
var malformedPaths = []struct {
	tunnel, stream, spare bool
	// kept is the number of whole answers before it on the connection.
	kept int
}{
	{},
	{
		stream: true,
		spare:  true,
		kept:   1,
	},
	{
		tunnel: true,
		stream: true,
	},
	{
		tunnel: true,
		spare:  true,
	},
	{
		tunnel: true,
		kept:   1,
	},
}

func requireBrokenAttempt(t *testing.T, answer string) {
	t.Helper()
	for _, path := range malformedPaths {
		name := fmt.Sprintf("%+v", path)
		faulty := startHeadServer(t, func(c net.Conn, in *bufio.Reader) {
			serveCut(c, in, path.kept, answer, false)
		})
		s := newFakeDecider(faulty, faulty)
		s.servers = s.servers[:1+path.kept]
		if path.spare {
			s.servers = append(s.servers, startWholeServer(t, "id: 1\ndata: a\n\n"))
		}
		if path.tunnel {
			s.path = messenger.Path{
				Isolated: true,
				Peers:    []messenger.PathPeer{startPeer(t, "")},
			}
		}
		address := startForwarder(t, s)
		for range path.kept {
			require.Equal(t, "whole", do(t, newRequest(t, http.MethodGet, "http://"+address+"/", nil)).body, name)
		}
		s.route.Stream = path.stream
		got := do(t, newRequest(t, http.MethodGet, "http://"+address+"/", nil))
		require.NoError(t, got.err, name)
		require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, s.results(), name)
		require.Empty(t, s.limits, name)
		require.Empty(t, s.leaving, name)
		if path.spare {
			require.Equal(t, http.StatusOK, got.status, name)
			require.Equal(t, "id: 1\ndata: a\n\n", got.body, name)
			continue
		}
		require.Equal(t, http.StatusBadGateway, got.status, name)
		require.Empty(t, got.body, name)
		require.NotContains(t, got.header, "Signature", name)
		require.NotContains(t, got.header, "Id", name)
	}
}

// Guards against answers that are passed on, or believed, although their status line is none.
func TestAnswerWithMalformedStatusLineIsBroken(t *testing.T) {
	const end = malformedFields + "Content-Length: 0\r\n\r\n"
	for name, answer := range map[string]string{
		"status 000":            "HTTP/1.1 000 None\r\n" + end,
		"status 000, no length": "HTTP/1.1 000 None\r\n" + malformedFields + "\r\nbody",
		"status 099":            "HTTP/1.1 099 None\r\n" + end,
		"status with a sign":    "HTTP/1.1 +20 OK\r\n" + end,
		"status below zero":     "HTTP/1.1 -20 OK\r\n" + end,
		"status of zero":        "HTTP/1.1 -00 OK\r\n" + end,
		"status 101":            "HTTP/1.1 101 Switching Protocols\r\n" + end,
		"status 101, upgrade":   "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: any\r\n" + end,
		"status 600":            "HTTP/1.1 600 None\r\n" + end,
		"status 999":            "HTTP/1.1 999 None\r\n" + end,
		"status of two digits":  "HTTP/1.1 20 OK\r\n" + end,
		"status of four digits": "HTTP/1.1 2000 OK\r\n" + end,
		"status that is a word": "HTTP/1.1 abc OK\r\n" + end,
		"reason phrase":         "HTTP/1.1 200 O\x01K\r\n" + end,
		"no status":             "HTTP/1.1\r\n" + end,
		"version 0.9":           "HTTP/0.9 200 OK\r\n" + end,
		"version 2.0":           "HTTP/2.0 200 OK\r\n" + end,
		"version 9.9":           "HTTP/9.9 200 OK\r\n" + end,
		"version in lower case": "http/1.1 200 OK\r\n" + end,
		"other protocol":        "ICAP/1.0 200 OK\r\n" + end,
		"chunks in version 1.0": "HTTP/1.0 200 OK\r\nId: r-1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { requireBroken(t, answer) })
	}
}

// Guards against sound answers that are taken for malformed ones.
func TestAnswerWithUnusualHeadIsWhole(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		status int
		body   string
	}{
		"status without a reason": {
			answer: "HTTP/1.1 200\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx",
			status: http.StatusOK,
			body:   "x",
		},
		"status of no name": {
			answer: "HTTP/1.1 299 Any\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx",
			status: 299,
			body:   "x",
		},
		"highest failure": {
			answer: "HTTP/1.1 599 Any\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx",
			status: 599,
			body:   "x",
		},
		"no content": {
			answer: "HTTP/1.1 204 No Content\r\nSignature: s\r\n\r\n",
			status: http.StatusNoContent,
		},
		"version 1.0 with a length": {
			answer: "HTTP/1.0 200 OK\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx",
			status: http.StatusOK,
			body:   "x",
		},
		"interim answers": {
			answer: "HTTP/1.1 100 Continue\r\n\r\n" + interim + interim + lengthHead + "whole",
			status: http.StatusOK,
			body:   "whole",
		},
		"trailers": {
			answer: "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n",
			status: http.StatusOK,
			body:   "x",
		},
		"every character of a name": {
			answer: "HTTP/1.1 200 OK\r\nSignature: s\r\nA!#$%&'*+-.^_`|~9: b\r\nContent-Length: 1\r\n\r\nx",
			status: http.StatusOK,
			body:   "x",
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeDecider(startHeadServer(t, func(c net.Conn, in *bufio.Reader) {
				serveCut(c, in, 0, test.answer, false)
			}))
			got := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
			require.NoError(t, got.err)
			require.Equal(t, test.status, got.status)
			require.Equal(t, test.body, got.body)
			require.Equal(t, "s", got.header.Get("Signature"))
		})
	}
}

// malformedLines are lines of a head that are no fields.
var malformedLines = map[string]string{
	"blank in a name":         "A b: c",
	"blank after a name":      "Content-Length : 2",
	"blank after chunks":      "Transfer-Encoding : chunked",
	"tab in a name":           "A\tb: c",
	"tab after a name":        "Content-Length\t: 2",
	"control byte in a name":  "A\x01b: c",
	"zero byte in a name":     "A\x00b: c",
	"bracket in a name":       "A(b: c",
	"byte above 127":          "A\xe9b: c",
	"empty name":              ": c",
	"no colon":                "Abc",
	"control byte in a value": "A: b\x01c",
	"carriage return":         "A: b\rc",
}

// Guards against answers that are passed on, with another body, although a name in their head is none.
func TestAnswerWithMalformedFieldIsBroken(t *testing.T) {
	for name, line := range malformedLines {
		for part, answer := range map[string]string{
			"head":         "HTTP/1.1 200 OK\r\n" + malformedFields + line + "\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			"failure":      "HTTP/1.1 500 Failed\r\n" + malformedFields + line + "\r\nContent-Length: 2\r\n\r\nok",
			"interim head": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + lengthHead + "whole",
		} {
			t.Run(name+" of a "+part, func(t *testing.T) { requireBroken(t, answer) })
		}
	}
}

// Guards against answers that count as whole although a name in their trailers is none.
func TestAnswerWithMalformedTrailerIsBroken(t *testing.T) {
	for name, line := range malformedLines {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/stream %t", name, stream), func(t *testing.T) {
				s := newFakeDecider(startRawServer(t, func(c net.Conn) {
					_, _ = fmt.Fprintf(c, "%sf\r\nid: 1\ndata: a\n\n\r\n0\r\n%s\r\n\r\n", chunkHead, line)
				}))
				s.route.Stream = stream
				got := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
				require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, s.results())
				if stream {
					require.Error(t, got.err)
					return
				}
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status)
			})
		}
	}
}
