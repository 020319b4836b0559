package gauger

import (
	"fmt"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// zoneCount is the number of availability zones of every fleet.
const zoneCount = 10

// accountsPerNode is the number of client accounts for each node of a fleet. The target
// states none; the five accounts of a deployment with nine nodes are about half as many.
const accountsPerNode = 1

// serverSlots is high enough that no measured request is refused at any fleet
// size.
const serverSlots = 1024

// file is one configuration file.
type file struct {
	name    identifier.FileName
	content string
}

func zoneOf(i int) identifier.Zone {
	return identifier.Zone(fmt.Sprintf("zone-%02d", i%zoneCount))
}

func poolOf(i int, s Size) identifier.PoolName {
	return identifier.PoolName(fmt.Sprintf("pool-%02d", i%s.Pools))
}

func accountName(i int) identifier.AccountID {
	return identifier.AccountID(fmt.Sprintf("account_%04d", i))
}

// The services of each fleet. The first pool serves the model services, the
// last pool the plain service.
const (
	shortService identifier.ServiceName = "summary"
	longService  identifier.ServiceName = "report"
	plainService identifier.ServiceName = "booking"
)

func accountCount(s Size) int { return max(accountsPerShard, s.Nodes*accountsPerNode) }

// accountsPerFile keeps each file below the maximum size of a configuration
// file.
const accountsPerFile = 100

// configurationFiles returns the configuration files for a fleet of a size, in
// the order in which they are read.
func configurationFiles(s Size) []file {
	files := []file{
		{
			name:    "10-zones.ini",
			content: zonesText(),
		},
		{
			name:    "20-vm-classes.ini",
			content: classesText(),
		},
		{
			name:    "30-pools.ini",
			content: poolsText(s),
		},
		{
			name:    "40-services.ini",
			content: servicesText(s),
		},
	}
	for from := 0; from < accountCount(s); from += accountsPerFile {
		files = append(files, accountsFile(from, min(from+accountsPerFile, accountCount(s))))
	}
	return append(files, file{
		name:    "90-log.ini",
		content: "[log]\nretention = 24h\n",
	})
}

// accountsFile returns a file with the client accounts numbered from up to but
// not including to, and their targets.
func accountsFile(from, to int) file {
	return file{
		name:    identifier.FileName(fmt.Sprintf("50-client-accounts-%03d.ini", from/accountsPerFile)),
		content: accountsText(from, to) + targetsText(from, to),
	}
}

func zonesText() string {
	var b strings.Builder
	for i := range zoneCount {
		fmt.Fprintf(&b, "[zone %s]\nregion = region-%d\n\n", zoneOf(i), i%3)
	}
	return b.String()
}

func classesText() string {
	var b strings.Builder
	b.WriteString("[vm_class engine]\n\n")
	for i := range zoneCount {
		fmt.Fprintf(&b, "[price engine %s]\nreclaimable = 0.92\non_demand = 2.75\n\n", zoneOf(i))
	}
	return b.String()
}

func poolsText(s Size) string {
	var b strings.Builder
	each := s.Servers / s.Pools
	for i := range s.Pools {
		fmt.Fprintf(&b, "[pool %s]\n", poolOf(i, s))
		if i == s.Pools-1 {
			fmt.Fprintf(&b, "kind = plain\nvm_class = engine\norder_time = 10s\nslots = %d\n", serverSlots)
		} else {
			fmt.Fprintf(&b, "kind = model\nvm_class = engine\nchecks_fence = true\norder_time = 20s\nslots = %d\n"+
				"tokens_per_second = 30\nprefill_per_second = 40000\nkv_bytes_per_token = 128KiB\ntransfer_rate = 2000MiB\n", serverSlots)
		}
		fmt.Fprintf(&b, "min = %d\nmax = %d\non_demand_percent = 20\n\n", each, each+1)
	}
	return b.String()
}

func servicesText(s Size) string {
	model := "kind = model\npool = %s\nmodel = reader-large\npriority = %s\nlong = %t\ndeadline = 15m\nmax_tokens = 4000\n\n"
	var b strings.Builder
	fmt.Fprintf(&b, "[service %s]\n"+model, shortService, poolOf(0, s), "standard", false)
	fmt.Fprintf(&b, "[service %s]\n"+model, longService, poolOf(0, s), "batch", true)
	fmt.Fprintf(&b, "[service %s]\nkind = plain\npool = %s\npriority = interactive\nidempotent = false\ndeadline = 30s\nkey_window = 10m\n",
		plainService, poolOf(s.Pools-1, s))
	return b.String()
}

func accountsText(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "[client_account %s]\nkey_sha256 = %064x\nrequests_per_second = 100000\nrequest_burst = 1000000\n"+
			"tokens_per_second = 1000000000\ntoken_burst = 1000000000\n\n", accountName(i), i+1)
	}
	return b.String()
}

func targetsText(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "[target %s %s]\nfirst_token = 710ms\ncompletion = 60s\npenalty = 2.00\n\n", accountName(i), shortService)
	}
	return b.String()
}
