package adapter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/answerreader"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// Guards against calls that run twice because a malformed answer states that nothing ran.
func TestMalformedAnswerIsNoRejection(t *testing.T) {
	const end = "Outcome: not_run\r\nContent-Length: 2\r\n\r\n{}"
	for name, answer := range map[string]string{
		"status":  "HTTP/1.1 000 None\r\n" + end,
		"version": "HTTP/9.9 503 Service Unavailable\r\n" + end,
		"name":    "HTTP/1.1 503 Service Unavailable\r\nA b: c\r\n" + end,
	} {
		t.Run(name, func(t *testing.T) {
			address := startEndless(t, answer, "x")
			plain := adapter.NewPlain(adapter.ServerConfig{})
			t.Cleanup(plain.Close)
			_, err := plain.Call(t.Context(), address, rejection(), testTimeouts)
			var malformed *answerreader.MalformedError
			require.ErrorAs(t, err, &malformed)
			require.Equal(t, messenger.AttemptBroken, adapter.Result(err))

			log := adapter.NewLog(adapter.PlatformConfig{Address: address})
			t.Cleanup(log.Close)
			_, err = log.Append(t.Context(), nil)
			var ambiguous *adapter.AmbiguousError
			require.ErrorAs(t, err, &ambiguous)
		})
	}
}
