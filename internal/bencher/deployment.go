package bencher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Deployments returns the deployments that the benchmark models.
func Deployments() []Deployment {
	return []Deployment{quillmarkDeployment(), cooperativeDeployment()}
}

func quillmarkDeployment() Deployment {
	zones := []identifier.Zone{"boston-a", "boston-b", "providence", "portland-me"}
	return Deployment{
		Name:       "quillmark",
		Nodes:      8,
		Zones:      zones,
		NoticeTime: 20 * timekeeper.Second,
		Kinds:      quillmarkKinds(),
		Accounts:   accounts("harbor", "beacon", "acorn", "saltmarsh", "juniper"),
		Pools: []catalog.Pool{
			modelPool("reading", 20, 500_000_000),
			plainPool("portal"),
		},
		Classes: []catalog.Class{
			{
				Name:   "gpu",
				Prices: prices(zones, []int{1300, 1380, 1220, 1450}, []int{3600, 3600, 3700, 3800}),
			},
			{
				Name:   "small",
				Prices: prices(zones, []int{40, 42, 38, 45}, []int{110, 110, 115, 120}),
			},
		},
	}
}

func quillmarkKinds() []Kind {
	return []Kind{
		plainKind("lookup", "portal", 30, 4*milliUnit, true),
		plainKind("rejection", "portal", 0.5, 20*milliUnit, false),
		{
			Service: modelService("ask", "reading", catalog.Interactive, 10*timekeeper.Second, false),
			Target: catalog.Target{
				FirstToken: 700 * timekeeper.Millisecond,
				Completion: 5 * timekeeper.Second,
				Penalty:    5 * milliUnit,
			},
			Rate:          3,
			Prompt:        [2]int{500, 900},
			Answer:        [2]int{40, 80},
			AccountBlocks: 6,
		},
		{
			Service: modelService("tag", "reading", catalog.Standard, 15*timekeeper.Second, false),
			Target: catalog.Target{
				FirstToken: 1500 * timekeeper.Millisecond,
				Completion: 3 * timekeeper.Second,
				Penalty:    2 * milliUnit,
			},
			Rate:          7,
			Prompt:        [2]int{600, 1200},
			Answer:        [2]int{8, 16},
			AccountBlocks: 6,
		},
		{
			Service: modelService("summary", "reading", catalog.Standard, 40*timekeeper.Second, false),
			Target: catalog.Target{
				FirstToken: 1000 * timekeeper.Millisecond,
				Completion: 12 * timekeeper.Second,
				Penalty:    20 * milliUnit,
			},
			Rate:          9,
			Prompt:        [2]int{1000, 2000},
			Answer:        [2]int{100, 260},
			AccountBlocks: 8,
			FlashCrowd:    true,
		},
		{
			Service: modelService("report", "reading", catalog.Batch, 5*timekeeper.Minute, true),
			Target: catalog.Target{
				FirstToken: 10 * timekeeper.Second,
				Completion: 2 * timekeeper.Minute,
				Penalty:    500 * milliUnit,
			},
			Rate:                1.5,
			Prompt:              [2]int{8000, 10_000},
			Answer:              [2]int{900, 2700},
			AccountBlocks:       16,
			DocumentBlocks:      96,
			Documents:           40,
			RequestsPerDocument: 4,
		},
	}
}

func cooperativeDeployment() Deployment {
	zones := []identifier.Zone{"hobart-a", "hobart-b", "kingston", "huonville"}
	return Deployment{
		Name:       "cooperative",
		Nodes:      6,
		Zones:      zones,
		NoticeTime: 15 * timekeeper.Second,
		Kinds: []Kind{
			plainKind("stock", "depot", 20, 4*milliUnit, true),
			plainKind("booking", "depot", 0.8, 30*milliUnit, false),
			{
				Service: modelService("question", "model", catalog.Interactive, 10*timekeeper.Second, false),
				Target: catalog.Target{
					FirstToken: 700 * timekeeper.Millisecond,
					Completion: 5 * timekeeper.Second,
					Penalty:    4 * milliUnit,
				},
				Rate:          6,
				Prompt:        [2]int{500, 900},
				Answer:        [2]int{30, 60},
				AccountBlocks: 6,
			},
			{
				Service: modelService("quote", "model", catalog.Standard, 40*timekeeper.Second, false),
				Target: catalog.Target{
					FirstToken: 1200 * timekeeper.Millisecond,
					Completion: 15 * timekeeper.Second,
					Penalty:    20 * milliUnit,
				},
				Rate:          5,
				Prompt:        [2]int{900, 1700},
				Answer:        [2]int{140, 320},
				AccountBlocks: 12,
				FlashCrowd:    true,
			},
			{
				Service: modelService("history", "model", catalog.Batch, 15*timekeeper.Minute, true),
				Target: catalog.Target{
					FirstToken: 60 * timekeeper.Second,
					Completion: 5 * timekeeper.Minute,
					Penalty:    150 * milliUnit,
				},
				Rate:                1.2,
				Prompt:              [2]int{5500, 8500},
				Answer:              [2]int{1500, 3500},
				AccountBlocks:       0,
				DocumentBlocks:      64,
				Documents:           20,
				RequestsPerDocument: 200,
			},
		},
		Accounts: accounts("wharf_deli", "summit_grocers", "cellar_doors", "members", "ferry_cafe"),
		Pools: []catalog.Pool{
			modelPool("model", 10, 400_000_000),
			plainPool("depot"),
		},
		Classes: []catalog.Class{
			{
				Name:   "gpu",
				Prices: prices(zones, []int{1100, 1180, 1020, 1300}, []int{3200, 3200, 3300, 3500}),
			},
			{
				Name:   "small",
				Prices: prices(zones, []int{36, 38, 34, 40}, []int{100, 100, 105, 110}),
			},
		},
	}
}

// accounts divides the requests among five accounts, two of them large.
func accounts(ids ...identifier.AccountID) []AccountSpec {
	shares := []float64{0.45, 0.30, 0.12, 0.08, 0.05}
	specs := make([]AccountSpec, len(ids))
	for i, id := range ids {
		specs[i] = AccountSpec{
			ID:    id,
			Share: shares[i],
		}
	}
	return specs
}

func modelService(
	name identifier.ServiceName,
	pool identifier.PoolName,
	priority catalog.Priority,
	deadline timekeeper.Duration,
	long bool,
) catalog.Service {
	return catalog.Service{
		Name:         name,
		Kind:         catalog.ModelService,
		Pool:         pool,
		Model:        "main",
		Priority:     priority,
		Long:         long,
		Idempotent:   true,
		Deadline:     deadline,
		MaxTokens:    8000,
		RetryPercent: 10,
	}
}

// plainKind returns a short call to a plain server. Idempotent calls take part
// in flash crowds.
func plainKind(name identifier.ServiceName, pool identifier.PoolName, rate float64, penalty identifier.Money, idempotent bool) Kind {
	return Kind{
		Service: catalog.Service{
			Name:         name,
			Kind:         catalog.PlainService,
			Pool:         pool,
			Priority:     catalog.Interactive,
			Idempotent:   idempotent,
			Deadline:     2 * timekeeper.Second,
			RetryPercent: 10,
		},
		Target: catalog.Target{
			FirstToken: 300 * timekeeper.Millisecond,
			Completion: 300 * timekeeper.Millisecond,
			Penalty:    penalty,
		},
		Rate:       rate,
		Answer:     [2]int{20, 80},
		FlashCrowd: idempotent,
	}
}

func modelPool(name identifier.PoolName, onDemandPercent int, transfer identifier.BytesPerSecond) catalog.Pool {
	return catalog.Pool{
		Name:             name,
		Kind:             catalog.ModelService,
		Class:            "gpu",
		Slots:            16,
		TokensPerSecond:  60,
		PrefillPerSecond: 12_000,
		Min:              6,
		Max:              18,
		OnDemandPercent:  onDemandPercent,
		KVBytesPerToken:  128 * 1024,
		TransferRate:     transfer,
	}
}

func plainPool(name identifier.PoolName) catalog.Pool {
	return catalog.Pool{
		Name:            name,
		Kind:            catalog.PlainService,
		Class:           "small",
		Slots:           2,
		Min:             4,
		Max:             10,
		OnDemandPercent: 25,
	}
}
