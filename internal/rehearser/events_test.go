package rehearser

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
)

// eventDone is the name that readEvents returns for the end of a complete answer.
const eventDone = "done"

// readEvents returns the text of a stream from its first token on, and the name of its
// last event, or "" if the stream has not ended.
func readEvents(t *testing.T, body []byte) (text, end string) {
	t.Helper()
	blocks := strings.Split(string(body), "\n\n")
	next := 1
	var (
		got    strings.Builder
		digest answerer.Digest
	)
	for _, block := range blocks[:len(blocks)-1] {
		fields := make(map[string]string)
		for line := range strings.SplitSeq(block, "\n") {
			name, value, _ := strings.Cut(line, ":")
			fields[name] = strings.TrimPrefix(value, " ")
		}
		switch {
		case fields["event"] != "":
			return got.String(), fields["event"]
		case fields["data"] == server.DataDone:
			return got.String(), eventDone
		case fields["id"] != "":
			text := chunkText(t, fields["data"])
			digest = digest.Next(text)
			require.Equal(t, strconv.Itoa(next)+"-"+digest.String(), fields["id"], "tokens come in order")
			next++
			got.WriteString(text)
		}
	}
	return got.String(), ""
}

func chunkText(t *testing.T, data string) string {
	t.Helper()
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	require.NoError(t, json.Unmarshal([]byte(data), &chunk))
	require.Len(t, chunk.Choices, 1)
	return chunk.Choices[0].Delta.Content
}
