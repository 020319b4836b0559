package forwarder

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against nodes that run out of memory because many servers at once send long answers.
func TestLongAnswersAreBounded(t *testing.T) {
	const size = 100 << 10
	long := newLongAnswers()
	held := make([]answerBuffer, maxLongAnswers)
	for i := range held {
		held[i].answers = long
		body, err := held[i].readAll(strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		require.Len(t, body, size)
	}
	next := answerBuffer{answers: long}
	body, err := next.readAll(strings.NewReader(strings.Repeat("x", size)))
	var tooLong *LongAnswerError
	require.ErrorAs(t, err, &tooLong)
	require.LessOrEqual(t, cap(body), int(maxShortAnswer))
	next.release()

	held[0].release()
	next = answerBuffer{answers: long}
	_, err = next.readAll(strings.NewReader(strings.Repeat("x", size)))
	require.NoError(t, err)
}

// Guards against streams that are cut because others once had a long event.
func TestLongEventIsHeldUntilItIsPassedOn(t *testing.T) {
	long := newLongAnswers()
	b := answerBuffer{answers: long}
	event := make([]byte, 100<<10)
	require.True(t, b.mayHold(len(event)))
	require.Len(t, long, 1)
	left := b.shorten(event[:10])
	require.Len(t, left, 10)
	require.Equal(t, streamBuffer, cap(left))
	require.Empty(t, long)
	b.release()
	require.Empty(t, long)
}
