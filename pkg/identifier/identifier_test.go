package identifier_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

func ExampleServerStart() {
	first := identifier.ServerStart("i-7f3a", 1700000000000)
	second := identifier.ServerStart("i-7f3a", 1700000004000)
	fmt.Println(first, second, first.Instance() == second.Instance())
	// Output: i-7f3a@1700000000000 i-7f3a@1700000004000 true
}

// An instance id may itself contain the separator, followed by digits.
func TestServerStartRoundTrip(t *testing.T) {
	for _, instance := range []identifier.InstanceID{"i-1", "", "i@7", "@", "i-1@x"} {
		for _, start := range []identifier.Incarnation{0, 1, 1 << 62} {
			gotInstance, gotStart := identifier.ServerStart(instance, start).Start()
			require.Equal(t, instance, gotInstance)
			require.Equal(t, start, gotStart)
		}
	}
}
