package runner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// streamPeers answers queries by address, after a time that depends on it.
type streamPeers struct {
	*fakePeers
	locate func(ctx context.Context, address string) messenger.StreamLocated
}

func (p *streamPeers) Stream(ctx context.Context, address string, _ messenger.StreamQuery) (messenger.StreamLocated, error) {
	return p.locate(ctx, address), nil
}

// Guards against waits for peers that hang while another one knows the stream.
func TestLocateStream(t *testing.T) {
	known := messenger.StreamLocated{
		Known:  true,
		Origin: messenger.StreamOrigin{Version: "v2"},
	}
	for _, test := range []struct {
		name   string
		locate func(ctx context.Context, address string, asked time.Duration) messenger.StreamLocated
		known  bool
	}{
		{
			name: "one knows and one hangs",
			locate: func(ctx context.Context, address string, _ time.Duration) messenger.StreamLocated {
				if address == "entry-2" {
					return known
				}
				<-ctx.Done()
				return messenger.StreamLocated{}
			},
			known: true,
		},
		{
			name: "known after a while",
			locate: func(_ context.Context, _ string, asked time.Duration) messenger.StreamLocated {
				if asked < 300*time.Millisecond {
					return messenger.StreamLocated{}
				}
				return known
			},
			known: true,
		},
		{
			name:   "never known",
			locate: func(context.Context, string, time.Duration) messenger.StreamLocated { return messenger.StreamLocated{} },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				began := time.Now()
				f.config.Peers = &streamPeers{
					fakePeers: f.peers,
					locate: func(ctx context.Context, address string) messenger.StreamLocated {
						return test.locate(ctx, address, time.Since(began))
					},
				}
				f.runEffects(messenger.LocateStream{
					Addresses: []string{"entry-1", "entry-2", "entry-3"},
					RepeatFor: 500,
				})
				<-time.After(time.Second)
				got := eventsOf[messenger.StreamLocated](f.reducer)
				require.Len(t, got, 1)
				require.Equal(t, test.known, got[0].Known)
			})
		})
	}
}
