package hoster_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/hoster"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/platform"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	loopback     = "127.0.0.1:0"
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

func ExampleParseGroup() {
	g, err := hoster.ParseGroup("pool=reading,kind=model,count=10,on_demand=2,model=report,slots=8")
	fmt.Println(g.Engine.Pool, g.Count, g.OnDemand, g.Engine.Slots, err)
	_, err = hoster.ParseGroup("pool=reading,colour=blue")
	fmt.Println(err)
	// Output:
	// reading 10 2 8 <nil>
	// group: colour=blue: unknown key or invalid value
}

// fixture is a platform and a hoster with two engines and a plain server in each
// of two zones.
type fixture struct {
	platform standin.Control
	hoster   standin.Control
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	ctx := context.Background()
	p := platform.New(platform.Config{})
	platformServer, err := standin.Listen(ctx, loopback, p, p.Gate)
	require.NoError(t, err)
	t.Cleanup(platformServer.Close)
	config := hoster.Config{
		PlatformAddress: platformServer.Address(),
		Zones:           []identifier.Zone{"a", "b"},
	}
	for _, text := range []string{"pool=reading,model=report,count=4,on_demand=1", "pool=portal,kind=plain,count=2"} {
		g, err := hoster.ParseGroup(text)
		require.NoError(t, err)
		config.Groups = append(config.Groups, g)
	}
	h := hoster.New(config)
	require.NoError(t, h.Start(ctx))
	hosterServer, err := standin.Listen(ctx, loopback, h, standin.NewGate())
	require.NoError(t, err)
	t.Cleanup(hosterServer.Close)
	return fixture{
		platform: standin.Control{Address: platformServer.Address()},
		hoster:   standin.Control{Address: hosterServer.Address()},
	}
}

// addresses returns the addresses of the running VMs by name.
func (f fixture) addresses(t *testing.T) map[identifier.VMID]string {
	t.Helper()
	var vms []encoder.VM
	require.NoError(t, f.hoster.Get(context.Background(), "/admin/vms", &vms))
	addresses := make(map[identifier.VMID]string)
	for _, vm := range vms {
		addresses[vm.VM] = vm.Address
	}
	return addresses
}

// Reclaiming a zone must end its reclaimable VMs at the deadline, not earlier, and
// must not affect on-demand VMs or other zones.
func TestReclaimedZoneEndsAtDeadline(t *testing.T) {
	f := newFixture(t)
	before := f.addresses(t)
	require.Len(t, before, 6)
	var noticed platform.ReclaimResponse
	require.NoError(t, f.hoster.Post(context.Background(), "/admin/reclaim", platform.ReclaimRequest{
		Zone:     "b",
		NoticeMS: 1500,
	}, &noticed))
	require.ElementsMatch(t, []identifier.VMID{"portal-b-1", "reading-b-1"}, noticed.VMs)
	require.Len(t, f.addresses(t), 6)
	require.Eventually(t, func() bool { return len(f.addresses(t)) == 4 }, waitTimeout, pollInterval)
	client := adapter.NewEngine(adapter.ServerConfig{})
	_, err := client.Load(context.Background(), before["reading-b-1"])
	require.Equal(t, messenger.AttemptNotSent, adapter.Result(err))
	_, err = client.Load(context.Background(), before["reading-b-2"])
	require.NoError(t, err)
}

// If a second notice has an earlier deadline than the first, the VM must end at
// the earlier one.
func TestEarlierNoticeDeadlineApplies(t *testing.T) {
	f := newFixture(t)
	for _, notice := range []int64{3_600_000, 50} {
		require.NoError(t, f.platform.Post(context.Background(), "/admin/reclaim", platform.ReclaimRequest{
			VM:       "reading-a-1",
			NoticeMS: notice,
		}, nil))
	}
	require.Eventually(t, func() bool { return f.addresses(t)["reading-a-1"] == "" }, waitTimeout, pollInterval)
}

func TestKilledVMGivesNoNotice(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.hoster.Post(context.Background(), "/admin/kill", hoster.KillRequest{VM: "reading-a-1"}, nil))
	require.NotContains(t, f.addresses(t), identifier.VMID("reading-a-1"))
	cloud := adapter.NewCloud(adapter.PlatformConfig{Address: f.platform.Address})
	notices, err := cloud.Notices(context.Background(), 0, 0)
	require.NoError(t, err)
	require.Empty(t, notices)
}

func TestBoughtVMStartsAndReleasedOneEnds(t *testing.T) {
	f := newFixture(t)
	cloud := adapter.NewCloud(adapter.PlatformConfig{Address: f.platform.Address})
	vm, err := cloud.Buy(context.Background(), messenger.BuyVM{
		ClientToken: "reading/5/1",
		Zone:        "a",
		Pool:        "reading",
	})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.addresses(t)[vm] != "" }, waitTimeout, pollInterval)
	require.NoError(t, cloud.Release(context.Background(), vm))
	require.Eventually(t, func() bool { return f.addresses(t)[vm] == "" }, waitTimeout, pollInterval)
}
