package runner

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Guards against streams of two versions, as the report of their beginning comes after their end.
func TestReportsOfExchangeAreAppliedInOrder(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		const exchanges = 32
		f.reducer.on = func(body messenger.EventBody) []messenger.Effect {
			if e, ok := body.(messenger.ExchangeAttemptEnded); ok {
				return []messenger.Effect{messenger.EndExchange{Exchange: e.Exchange}}
			}
			return nil
		}
		for i := range identifier.ExchangeID(exchanges) {
			busy := make(chan struct{})
			go f.runInLoop(t.Context(), func() { <-busy })
			synctest.Wait()
			f.Began(t.Context(), messenger.ExchangeBegan{Exchange: i})
			go f.AttemptEnded(t.Context(), messenger.ExchangeAttemptEnded{Exchange: i})
			synctest.Wait()
			close(busy)
			synctest.Wait()
			require.Len(t, eventsOf[messenger.ExchangeAttemptEnded](f.reducer), int(i)+1)
			f.reducer.mu.Lock()
			last := f.reducer.events[len(f.reducer.events)-1]
			f.reducer.mu.Unlock()
			require.IsType(t, messenger.ExchangeAttemptEnded{}, last)
		}
	})
}
