package adapter_test

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/platform"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func errorsAs[T error](err error, target *T) bool { return err != nil && errors.As(err, target) }

func records(stream identifier.LogStream, texts ...string) []adapter.Record {
	var list []adapter.Record
	for _, text := range texts {
		list = append(list, adapter.Record{
			Stream: stream,
			Data:   []byte(text),
		})
	}
	return list
}

func TestLogOrderSpansStreams(t *testing.T) {
	_, config := startPlatform(t, platform.Config{})
	log := adapter.NewLog(config)
	ctx := context.Background()
	offsets, err := log.Append(ctx, append(records("a", "1", "2"), records("b", "3")...))
	require.NoError(t, err)
	require.Equal(t, []identifier.Offset{1, 2, 3}, offsets)
	read, err := log.Read(ctx, "a", 2, 10, 0)
	require.NoError(t, err)
	require.True(t, read.End)
	require.Equal(t, identifier.Offset(1), read.First)
	require.Len(t, read.Records, 1)
	require.Equal(t, "2", string(read.Records[0].Data))
	read, err = log.Read(ctx, "a", 1, 1, 0)
	require.NoError(t, err)
	require.False(t, read.End)
}

// The answer to an append is lost after the append took effect. The error must be
// ambiguous, not "not appended".
func TestLostAppendAnswerIsAmbiguous(t *testing.T) {
	for _, loss := range []platform.DropMode{platform.DropUnavailable, platform.DropClosed} {
		p, config := startPlatform(t, platform.Config{})
		p.SetFaults(func(f *platform.Faults) {
			f.DropAppendResponses = 1
			f.DropMode = loss
		})
		log := adapter.NewLog(config)
		_, err := log.Append(context.Background(), records("a", "claim"))
		var ambiguous *adapter.AmbiguousError
		require.ErrorAs(t, err, &ambiguous)
		read, err := log.Read(context.Background(), "a", 0, 10, 0)
		require.NoError(t, err)
		require.Len(t, read.Records, 1, "the client must not repeat the append")
	}
}

// An outage answers 503, which a client can't distinguish from a lost answer. A refused
// connection had no effect.
func TestLogOutage(t *testing.T) {
	p, config := startPlatform(t, platform.Config{})
	p.SetFaults(func(f *platform.Faults) { f.LogOutage = true })
	var ambiguous *adapter.AmbiguousError
	var unavailable *adapter.UnavailableError
	_, err := adapter.NewLog(config).Append(context.Background(), records("a", "1"))
	require.ErrorAs(t, err, &ambiguous)
	_, err = adapter.NewLog(config).Read(context.Background(), "a", 0, 10, 0)
	require.ErrorAs(t, err, &unavailable)
	unreachable := adapter.NewLog(adapter.PlatformConfig{Address: closedAddress(t)})
	_, err = unreachable.Append(context.Background(), records("a", "1"))
	require.ErrorAs(t, err, &unavailable)
}

func TestAppendRate(t *testing.T) {
	_, config := startPlatform(t, platform.Config{AppendRate: 0.01})
	log := adapter.NewLog(config)
	_, err := log.Append(context.Background(), records("a", "1"))
	require.NoError(t, err)
	_, err = log.Append(context.Background(), records("a", "2"))
	var limited *adapter.RateLimitedError
	require.ErrorAs(t, err, &limited)
	require.Positive(t, limited.RetryAfter)
}

// A reader must be able to detect that records expired unread: First is then greater
// than the offset from which it reads.
func TestExpiredRecordsAdvanceFirst(t *testing.T) {
	clock := timekeeper.NewManual(1_000_000)
	_, config := startPlatform(t, platform.Config{
		Clock:     clock,
		Retention: timekeeper.Minute,
	})
	log := adapter.NewLog(config)
	ctx := context.Background()
	_, err := log.Append(ctx, records("a", "old"))
	require.NoError(t, err)
	clock.Advance(timekeeper.Minute)
	read, err := log.Read(ctx, "a", 1, 10, 0)
	require.NoError(t, err)
	require.Empty(t, read.Records)
	require.Equal(t, identifier.Offset(2), read.First)
}

// A long poll must return as soon as a record is appended.
func TestLongPollWakes(t *testing.T) {
	_, config := startPlatform(t, platform.Config{})
	log := adapter.NewLog(config)
	ctx := context.Background()
	got := make(chan messenger.LogRead, 1)
	go func() {
		read, _ := log.Read(ctx, "a", 1, 10, 20*timekeeper.Second)
		got <- read
	}()
	_, err := log.Append(ctx, records("b", "other"))
	require.NoError(t, err)
	_, err = log.Append(ctx, records("a", "mine"))
	require.NoError(t, err)
	require.Len(t, (<-got).Records, 1)
}

// The list is stale: a VM under notice is listed as live for a while, and a removed one
// is still listed. The faults pin both states.
func TestListIsStale(t *testing.T) {
	clock := timekeeper.NewManual(1_000_000)
	p, config := startPlatform(t, platform.Config{
		Clock:   clock,
		ListLag: 2 * timekeeper.Second,
	})
	ctx := context.Background()
	control := standin.Control{Address: config.Address}
	require.NoError(t, control.Post(ctx, "/admin/vms", encoder.VM{
		VM:   "e1",
		Zone: "boston-a",
	}, nil))
	lister := adapter.NewLister(config)
	list := func() []messenger.VMState {
		read, err := lister.List(ctx)
		require.NoError(t, err)
		return read.VMs
	}
	require.Empty(t, list())
	clock.Advance(2 * timekeeper.Second)
	require.False(t, list()[0].Leaving)
	require.NoError(t, control.Post(ctx, "/admin/reclaim", platform.ReclaimRequest{
		Zone:     "boston-a",
		NoticeMS: 5000,
	}, nil))
	require.False(t, list()[0].Leaving)
	clock.Advance(2 * timekeeper.Second)
	require.True(t, list()[0].Leaving)
	p.SetFaults(func(f *platform.Faults) { f.ShowAsLive = []string{"e1"} })
	require.False(t, list()[0].Leaving)
	clock.Advance(timekeeper.Minute)
	require.Len(t, list(), 1)
	p.SetFaults(func(f *platform.Faults) { f.ShowAsLive = nil })
	require.Empty(t, list())
}

// Guards against buying a second VM when a purchase is repeated because its answer was lost.
func TestPurchases(t *testing.T) {
	p, config := startPlatform(t, platform.Config{})
	cloud := adapter.NewCloud(config)
	ctx := context.Background()
	order := messenger.BuyVM{
		ClientToken: "reading/3/1",
		Zone:        "boston-a",
		Pool:        "reading",
	}
	p.SetFaults(func(f *platform.Faults) { f.DropPurchaseResponses = 1 })
	_, err := cloud.Buy(ctx, order)
	var ambiguous *adapter.AmbiguousError
	require.ErrorAs(t, err, &ambiguous)
	vm, err := cloud.Buy(ctx, order)
	require.NoError(t, err)
	require.Equal(t, identifier.VMID("vm-1"), vm)
	p.SetFaults(func(f *platform.Faults) { f.IgnoreClientTokens = true })
	vm, err = cloud.Buy(ctx, order)
	require.NoError(t, err)
	require.Equal(t, identifier.VMID("vm-2"), vm)
	p.SetFaults(func(f *platform.Faults) { f.RefuseZones = []string{"boston-a"} })
	_, err = cloud.Buy(ctx, order)
	var refused *adapter.BuyRefusedError
	require.ErrorAs(t, err, &refused)
	require.NoError(t, cloud.Release(ctx, "vm-2"))
	require.NoError(t, cloud.Release(ctx, "nobody"))
}

func TestNoticesOfAZone(t *testing.T) {
	_, config := startPlatform(t, platform.Config{})
	ctx := context.Background()
	control := standin.Control{Address: config.Address}
	for vm, zone := range map[identifier.VMID]identifier.Zone{"e1": "a", "e2": "b", "e3": "a"} {
		require.NoError(t, control.Post(ctx, "/admin/vms", encoder.VM{
			VM:   vm,
			Zone: zone,
		}, nil))
	}
	require.NoError(t, control.Post(ctx, "/admin/reclaim", platform.ReclaimRequest{
		Zone:     "a",
		NoticeMS: 60_000,
	}, nil))
	cloud := adapter.NewCloud(config)
	before := timekeeper.System{}.Now()
	notices, err := cloud.Notices(ctx, 0, timekeeper.Second)
	require.NoError(t, err)
	require.Len(t, notices, 2)
	require.Equal(t, identifier.VMID("e1"), notices[0].VM)
	require.Equal(t, identifier.VMID("e3"), notices[1].VM)
	require.True(t, notices[0].Deadline.After(before.Add(30*timekeeper.Second)))
	notices, err = cloud.Notices(ctx, notices[1].Seq, 0)
	require.NoError(t, err)
	require.Empty(t, notices)
}

func TestWeights(t *testing.T) {
	_, config := startPlatform(t, platform.Config{WeightBytes: 100_000})
	n, err := adapter.NewWeights(config).Fetch(context.Background(), "report", io.Discard)
	require.NoError(t, err)
	require.Equal(t, identifier.Bytes(100_000), n)
}
