package catalog_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

func ExampleRouting_Find() {
	routing := catalog.NewRouting([]*catalog.Route{
		{
			Name:       "all",
			Host:       "api.example",
			PathPrefix: "/",
		},
		{
			Name:       "reports",
			Host:       "api.example",
			PathPrefix: "/reports/",
		},
	}, nil)
	for _, path := range []string{"/reports/7", "/reports", "/pings/7"} {
		route, _ := routing.Find("API.example", path)
		fmt.Println(path, route.Name)
	}
	_, found := routing.Find("other.example", "/")
	fmt.Println(found)
	// Output:
	// /reports/7 reports
	// /reports all
	// /pings/7 all
	// false
}

func TestSplitByWeight(t *testing.T) {
	route := catalog.Route{
		Split: []catalog.Split{
			{
				Service: "old",
				Weight:  90,
			},
			{
				Service: "new",
				Weight:  10,
			},
		},
	}
	tests := []struct {
		point float64
		want  identifier.ServiceName
	}{
		{
			point: 0,
			want:  "old",
		},
		{
			point: 0.899,
			want:  "old",
		},
		{
			point: 0.9,
			want:  "new",
		},
		{
			point: 0.999,
			want:  "new",
		},
		{
			point: 1,
			want:  "new",
		},
	}
	for _, test := range tests {
		require.Equal(t, test.want, route.Service(test.point), "%v", test.point)
	}
	require.Empty(t, (&catalog.Route{}).Service(0.5))
}
