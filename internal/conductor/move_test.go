package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// reclaim announces the reclaim of a server in four seconds.
func (f *fixture) reclaim(vm identifier.VMID) []messenger.Effect {
	f.env.Members.MarkReclaimed(f.env.Now, vm, f.env.Now.Add(4*timekeeper.Second))
	return f.c.ServersLeaving(f.env)
}

// Guards against losing a stream, or its delivered tokens, if a KV export from a reclaimed engine
// fails or its target is reclaimed too.
func TestMoveKV(t *testing.T) {
	tests := []struct {
		name         string
		targetLeaves bool
		ok           bool
		mode         messenger.StartMode
	}{
		{
			name: "moved",
			ok:   true,
			mode: messenger.StartImported,
		},
		{
			name: "failed",
			mode: messenger.StartPrefill,
		},
		{
			name:         "target reclaimed during the export",
			targetLeaves: true,
			ok:           true,
			mode:         messenger.StartPrefill,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			first := f.run("tag")
			f.progress(first, 20)
			move := requireOne[messenger.MoveKV](t, f.reclaim(first.Server))
			require.NotEqual(t, first.Server, move.To)
			if test.targetLeaves {
				requireNone[messenger.MoveKV](t, f.reclaim(move.To))
			}
			out := f.c.KVMoved(f.env, messenger.KVMoved{
				Request: id,
				Attempt: first.Attempt,
				To:      move.To,
				OK:      test.ok,
			})
			next := requireOne[messenger.SendAttempt](t, out)
			require.Equal(t, test.mode, next.Mode)
			require.EqualValues(t, 20, next.From)
			require.NotEqual(t, first.Server, next.Server)
			require.Equal(t, test.mode == messenger.StartImported, next.Stream == first.Stream)
			if test.targetLeaves {
				require.NotEqual(t, move.To, next.Server)
			}
			require.Equal(t, first.Server, requireOne[messenger.StopAttempt](t, out).Server)
		})
	}
}

// The end of an export is ignored if the stream has already moved on.
func TestLateKVMovedIsIgnored(t *testing.T) {
	f := newFixture(t)
	first := f.run("tag")
	f.progress(first, 20)
	move := requireOne[messenger.MoveKV](t, f.reclaim(first.Server))
	requireOne[messenger.SendAttempt](t, f.c.ServerRemoved(f.env, first.Server))
	require.Empty(t, f.c.KVMoved(f.env, messenger.KVMoved{
		Request: id,
		Attempt: first.Attempt,
		To:      move.To,
		OK:      true,
	}))
}
