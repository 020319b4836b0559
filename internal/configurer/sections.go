package configurer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The bounds of values. They are wide, as they are meant to catch typing errors.
const (
	maxServers         = 10_000
	maxSlots           = 10_000
	maxTokensPerSecond = 1e6
	maxAccountRate     = 1e9
	maxAnswerTokens    = 1_000_000
	maxBody            = 64 << 20
	maxKVBytesPerToken = 64 << 20
	maxTransferRate    = 1 << 40
	maxOrderTime       = timekeeper.Hour
	maxDeadline        = 7 * 24 * timekeeper.Hour
)

func (b *builder) log(f *folderreader.Form, _ []string) {
	if retention := f.Required("retention").Duration(minRetention, maxRetention); retention > 0 {
		b.catalog.LogRetention = retention
	}
}

func (b *builder) zone(f *folderreader.Form, names []string) {
	name := identifier.Zone(names[0])
	b.catalog.Zones[name] = catalog.ZoneSpec{
		Name:   name,
		Region: identifier.Region(f.Required("region").Name()),
	}
}

func (b *builder) class(_ *folderreader.Form, names []string) {
	name := identifier.VMClass(names[0])
	b.catalog.Classes[name] = catalog.Class{
		Name:   name,
		Prices: make(map[identifier.Zone]map[catalog.Market]identifier.Money),
	}
}

func (b *builder) price(f *folderreader.Form, names []string) {
	class, zone := identifier.VMClass(names[0]), identifier.Zone(names[1])
	prices := make(map[catalog.Market]identifier.Money)
	for _, market := range []catalog.Market{catalog.Reclaimable, catalog.OnDemand} {
		f.AllowKeys(string(market))
		if f.Has(string(market)) {
			prices[market] = f.Required(string(market)).Money()
		}
	}
	if len(prices) == 0 {
		f.Fault("", "a price for reclaimable, on_demand or both", "none")
	}
	if spec, ok := b.catalog.Classes[class]; ok {
		spec.Prices[zone] = prices
	} else {
		f.Fault("", "a [vm_class] that the folder defines", string(class))
	}
	if _, ok := b.catalog.Zones[zone]; !ok {
		f.Fault("", "a [zone] that the folder defines", string(zone))
	}
}

func (b *builder) pool(f *folderreader.Form, names []string) {
	pool := catalog.Pool{
		Name:            identifier.PoolName(names[0]),
		Kind:            serviceKind(f),
		ChecksFence:     f.Optional("checks_fence", "false").Bool(),
		OrderTime:       f.Optional("order_time", "30s").Duration(timekeeper.Millisecond, maxOrderTime),
		Class:           identifier.VMClass(f.Required("vm_class").Name()),
		Slots:           f.Required("slots").Count(1, maxSlots),
		Min:             f.Required("min").Count(0, maxServers),
		Max:             f.Required("max").Count(1, maxServers),
		OnDemandPercent: f.Optional("on_demand_percent", "0").Count(0, 100),
	}
	f.AllowKeys("tokens_per_second", "prefill_per_second", "kv_bytes_per_token", "transfer_rate")
	switch pool.Kind {
	case catalog.PlainService:
		forbidModelKeys(f, "tokens_per_second", "prefill_per_second", "kv_bytes_per_token", "transfer_rate")
	case catalog.ModelService:
		pool.TokensPerSecond = f.Required("tokens_per_second").Number(0.1, maxTokensPerSecond)
		pool.PrefillPerSecond = f.Required("prefill_per_second").Number(0.1, maxTokensPerSecond)
		pool.KVBytesPerToken = f.Required("kv_bytes_per_token").Bytes(1, maxKVBytesPerToken)
		pool.TransferRate = identifier.BytesPerSecond(f.Required("transfer_rate").Bytes(1, maxTransferRate))
	}
	if pool.Min > pool.Max && pool.Max > 0 {
		f.Fault("min", "at most max", "more")
	}
	b.catalog.Pools[pool.Name] = pool
}

func serviceKind(f *folderreader.Form) catalog.ServiceKind {
	return catalog.ServiceKind(f.Required("kind").Choice(
		string(catalog.ModelService),
		string(catalog.PlainService),
	))
}

// forbidModelKeys reports keys that only model pools and services may have.
func forbidModelKeys(f *folderreader.Form, keys ...string) {
	for _, key := range keys {
		f.ForbidKey(key, "with kind = plain")
	}
}

func (b *builder) service(f *folderreader.Form, names []string) {
	service := catalog.Service{
		Name:         identifier.ServiceName(names[0]),
		Kind:         serviceKind(f),
		Pool:         identifier.PoolName(f.Required("pool").Name()),
		Priority:     priority(f),
		Long:         f.Optional("long", "false").Bool(),
		Deadline:     f.Required("deadline").Duration(timekeeper.Millisecond, maxDeadline),
		MaxBody:      f.Optional("max_body", "1MiB").Bytes(1, maxBody),
		RetryPercent: f.Optional("retry_percent", "10").Count(0, 100),
		KeyWindow:    f.Optional("key_window", "10m").Duration(timekeeper.Second, maxRetention),
	}
	f.AllowKeys("model", "max_tokens", "idempotent")
	switch service.Kind {
	case catalog.PlainService:
		forbidModelKeys(f, "model", "max_tokens")
		// There is no default for plain services: a wrong one would run a
		// request twice or lose its answer.
		service.Idempotent = f.Required("idempotent").Bool()
	case catalog.ModelService:
		service.Model = identifier.ModelName(f.Required("model").Name())
		service.MaxTokens = identifier.Tokens(f.Required("max_tokens").Count(1, maxAnswerTokens))
		service.Idempotent = f.Optional("idempotent", "true").Bool()
	}
	b.catalog.Services[service.Name] = service
}

// The values of a service's priority key.
const (
	batchName       = "batch"
	standardName    = "standard"
	interactiveName = "interactive"
)

func priority(f *folderreader.Form) catalog.Priority {
	switch f.Required("priority").Choice(batchName, standardName, interactiveName) {
	case batchName:
		return catalog.Batch
	case interactiveName:
		return catalog.Interactive
	default:
		return catalog.Standard
	}
}

func (b *builder) account(f *folderreader.Form, names []string) {
	account := catalog.Account{
		ID:                identifier.AccountID(names[0]),
		KeyHashes:         f.Required("key_sha256").Hashes(),
		RequestsPerSecond: f.Required("requests_per_second").Number(0.001, maxAccountRate),
		RequestBurst:      f.Required("request_burst").Number(1, maxAccountRate),
		TokensPerSecond:   f.Required("tokens_per_second").Number(0.001, maxAccountRate),
		TokenBurst:        f.Required("token_burst").Number(1, maxAccountRate),
		Targets:           make(map[identifier.ServiceName]catalog.Target),
	}
	b.catalog.Accounts[account.ID] = account
}

func (b *builder) target(f *folderreader.Form, names []string) {
	account, service := identifier.AccountID(names[0]), identifier.ServiceName(names[1])
	target := catalog.Target{
		Completion: f.Required("completion").Duration(timekeeper.Millisecond, maxDeadline),
		Penalty:    f.Required("penalty").Money(),
	}
	target.FirstToken = target.Completion
	f.AllowKeys("first_token")
	if b.catalog.Services[service].Kind == catalog.PlainService {
		f.ForbidKey("first_token", "for a plain service")
	} else if f.Has("first_token") {
		target.FirstToken = f.Required("first_token").Duration(timekeeper.Millisecond, maxDeadline)
	}
	if target.FirstToken > target.Completion && target.Completion > 0 {
		f.Fault("first_token", "at most the completion", target.FirstToken.String())
	}
	if spec, ok := b.catalog.Accounts[account]; ok {
		spec.Targets[service] = target
	} else {
		f.Fault("", "a [client_account] that the folder defines", string(account))
	}
	if _, ok := b.catalog.Services[service]; !ok {
		f.Fault("", "a [service] that the folder defines", string(service))
	}
}
