package platform

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against listing a VM again that was released while it booted.
func TestVMReleasedWhileBootingStaysReleased(t *testing.T) {
	c := newCloud(Config{Clock: timekeeper.System{}})
	bought := c.buy(encoder.BuyRequest{ClientToken: "t1"}, false)
	require.True(t, c.release(bought.VM))
	c.register(bought)
	require.NotEqual(t, timekeeper.Never, c.vms[bought.VM].removedAt)
}
