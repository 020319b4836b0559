package starter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/starter"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// gatewayWith returns the settings of a node that serves opaque exchanges, with one line
// added to them.
func gatewayWith(line string) map[identifier.FileName][]byte {
	const settings = `[node]
vm = entry-1
zone = z
region = r
[caller_port]
listen = 127.0.0.1:80
[peer_port]
listen = 127.0.0.1:81
[directory_port]
listen = 127.0.0.1:82
[readiness_port]
listen = 127.0.0.1:83
[metrics_port]
listen = 127.0.0.1:84
[platform]
address = 127.0.0.1:85
[gateway]
`
	return map[identifier.FileName][]byte{"a.ini": []byte(settings + line + "\n")}
}

// Guards against a part that is on by default, and faults that do not name file, key and values.
func TestSharedRates(t *testing.T) {
	for line, want := range map[string]bool{
		"":                   false,
		"shared_rates = off": false,
		"shared_rates = on":  true,
	} {
		settings, faults := starter.Check(gatewayWith(line))
		require.Empty(t, faults)
		require.Equal(t, want, settings.Gateway.SharedRates, line)
	}
	_, faults := starter.Check(gatewayWith("shared_rates = yes"))
	require.Equal(t, []folderreader.Fault{
		{
			File:     "a.ini",
			Section:  "gateway",
			Key:      "shared_rates",
			Expected: "one of on, off",
			Got:      `"yes"`,
		},
	}, faults)
}
