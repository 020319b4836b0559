package starter_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/starter"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const exampleFolder = "../../examples/node"

// gatewayFile holds the required settings of a node that serves opaque exchanges.
const gatewayFile = `[node]
vm = entry-1
zone = boston-a
region = new-england
[caller_port]
listen = 10.0.0.1:80
[peer_port]
listen = 10.0.0.1:81
[directory_port]
listen = 10.0.0.1:82
[readiness_port]
listen = 10.0.0.1:83
[metrics_port]
listen = 10.0.0.1:84
[platform]
address = 10.0.0.2:80
[gateway]
`

func ExampleLoad() {
	settings, err := starter.Load("../../examples/node")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(settings.VM, settings.Zone, settings.Caller.Advertised, settings.DrainTime)
	// Output: entry-1 boston-a 127.0.0.1:8080 2m0s
}

func TestLaterFileWins(t *testing.T) {
	files, err := folderreader.ReadDir(exampleFolder)
	require.NoError(t, err)
	files["99-override.ini"] = []byte("[node]\nzone = providence\n")
	settings, faults := starter.Check(files)
	require.Empty(t, faults)
	require.Equal(t, identifier.Zone("providence"), settings.Zone)
	require.Equal(t, identifier.VMID("entry-1"), settings.VM)
}

func TestCheckReportsAllFaults(t *testing.T) {
	_, faults := starter.Check(map[identifier.FileName][]byte{
		"a.ini": []byte("[node]\nvm = entry 1\nzone = z\ncolour = red\n[caller_port]\nlisten = 0.0.0.0:80\n[peer_port]\nlisten = localhost:80\n[ports]\n"),
	})
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	require.Equal(t, []string{
		`[operator] key_sha256: expected 1 to 8 SHA-256 sums in lower-case hexadecimal, got nothing`,
		`[platform] address: expected an IP number with a port, such as 10.0.0.7:8080, that others can connect to, got nothing`,
		`a.ini [caller_port] advertise: expected an IP number with a port, such as 10.0.0.7:8080, that others can connect to, got nothing`,
		`a.ini [node] colour: expected one of drain_time, log_level, region, vm, zone, got unknown key "colour"`,
		`a.ini [node] region: expected a name of letters, digits, . _ -, got nothing`,
		`a.ini [node] vm: expected a name of letters, digits, . _ -, got "entry 1"`,
		`a.ini [peer_port] advertise: expected an IP number with a port, such as 10.0.0.7:8080, that others can connect to, got nothing`,
		`a.ini [peer_port] listen: expected an IP number with a port, such as 10.0.0.7:8080, got "localhost:80"`,
		`a.ini [ports]: expected one of the sections [node] [caller_port] [peer_port] [platform] [operator] [timeline], got [ports]`,
	}, lines)
}

// Guards against a misspelt switch that leaves a part off without a word.
func TestSwitchesOfGateway(t *testing.T) {
	tests := []struct {
		line  string
		on    bool
		fault string
	}{
		{},
		{
			line: "admission = off",
		},
		{
			line: "admission = on",
			on:   true,
		},
		{
			line:  "admission = true",
			fault: `a.ini [gateway] admission: expected one of on, off, got "true"`,
		},
	}
	for _, test := range tests {
		settings, faults := starter.Check(map[identifier.FileName][]byte{
			"a.ini": []byte(gatewayFile + test.line + "\n"),
		})
		if test.fault != "" {
			require.Len(t, faults, 1)
			require.Equal(t, test.fault, faults[0].String())
			continue
		}
		require.Empty(t, faults)
		require.Equal(t, test.on, settings.Gateway.Admission)
	}
}

func TestLoadErrorsAreTyped(t *testing.T) {
	_, err := starter.Load(t.TempDir())
	var faults *folderreader.FaultsError
	require.ErrorAs(t, err, &faults)
	_, err = starter.Load("testdata/none")
	var read *folderreader.ReadError
	require.ErrorAs(t, err, &read)
}
