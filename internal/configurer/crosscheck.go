package configurer

import (
	"fmt"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// crossCheck reports faults that involve several sections.
func (b *builder) crossCheck() {
	for _, pool := range b.catalog.Pools {
		b.checkPool(pool, b.forms[poolSection+" "+string(pool.Name)])
	}
	for _, service := range b.catalog.Services {
		b.checkService(service, b.forms[serviceSection+" "+string(service.Name)])
	}
	for _, account := range b.catalog.Accounts {
		b.checkTargets(account)
	}
	b.checkKeys()
}

func (b *builder) checkPool(pool catalog.Pool, f *folderreader.Form) {
	if pool.Class == "" {
		return
	}
	if _, ok := b.catalog.Classes[pool.Class]; !ok {
		f.Fault("vm_class", "a [vm_class] that the folder defines", string(pool.Class))
		return
	}
	if pool.OnDemandPercent < 100 && !b.hasPrice(pool.Class, catalog.Reclaimable) {
		f.Fault("vm_class", "a class with a reclaimable [price] in some zone", string(pool.Class))
	}
	if pool.OnDemandPercent > 0 && !b.hasPrice(pool.Class, catalog.OnDemand) {
		f.Fault("vm_class", "a class with an on_demand [price] in some zone", string(pool.Class))
	}
}

// hasPrice reports whether some zone has a price for the class in the market.
func (b *builder) hasPrice(class identifier.VMClass, market catalog.Market) bool {
	for _, prices := range b.catalog.Classes[class].Prices {
		if _, ok := prices[market]; ok {
			return true
		}
	}
	return false
}

func (b *builder) checkService(service catalog.Service, f *folderreader.Form) {
	b.checkServicePool(service, f)
	if service.Kind == catalog.ModelService && !service.Idempotent {
		// An interrupted model answer is resumed at the token where it stopped, so
		// a retry does not duplicate it.
		f.Fault("idempotent", "true with kind = model", "false")
	}
	if service.Long && !service.Idempotent {
		// A long request survives a reclaim because another node may run it again, which
		// a request that must not be repeated rules out.
		f.Fault("long", "false with idempotent = false", "true")
	}
	b.checkKeyWindow(service, f)
}

func (b *builder) checkServicePool(service catalog.Service, f *folderreader.Form) {
	if service.Pool == "" {
		return
	}
	pool, ok := b.catalog.Pools[service.Pool]
	if !ok {
		f.Fault("pool", "a [pool] that the folder defines", string(service.Pool))
		return
	}
	if pool.Kind != service.Kind && pool.Kind != "" && service.Kind != "" {
		expected := fmt.Sprintf("a pool of kind %s", service.Kind)
		f.Fault("pool", expected, fmt.Sprintf("%s of kind %s", pool.Name, pool.Kind))
	}
}

// minKeyWindowDeadlines is the minimum key window of a service that is not
// idempotent, in deadlines of the service.
const minKeyWindowDeadlines = 2

// checkKeyWindow requires the window of idempotency keys to be at most half of
// the log's retention. If a claim's record expired within the window, the same
// request could run a second time. The other half of the retention allows for
// claims that are read late.
func (b *builder) checkKeyWindow(service catalog.Service, f *folderreader.Form) {
	maxWindow := b.catalog.LogRetention / 2
	if service.KeyWindow > maxWindow {
		expected := fmt.Sprintf("at most half of the log's retention, %s", maxWindow)
		f.Fault("key_window", expected, service.KeyWindow.String())
	}
	// A request may time out at its deadline with an unknown outcome, and its
	// caller may then repeat the key. If the window had ended by then, the
	// request would run again.
	if minWindow := minKeyWindowDeadlines * service.Deadline; !service.Idempotent && service.KeyWindow < minWindow {
		expected := fmt.Sprintf("at least two deadlines of a service that is not idempotent, %s", minWindow)
		f.Fault("key_window", expected, service.KeyWindow.String())
	}
}

func (b *builder) checkTargets(account catalog.Account) {
	largest := identifier.Tokens(0)
	for name, target := range account.Targets {
		service, ok := b.catalog.Services[name]
		if !ok {
			continue
		}
		largest = max(largest, service.MaxTokens)
		if target.Completion > service.Deadline && service.Deadline > 0 {
			f := b.forms[targetSection+" "+string(account.ID)+" "+string(name)]
			expected := fmt.Sprintf("at most the service's deadline, %s", service.Deadline)
			f.Fault("completion", expected, target.Completion.String())
		}
	}
	if account.TokenBurst < float64(largest) && account.TokenBurst > 0 {
		// A request for more tokens than the burst would never be admitted.
		f := b.forms[accountSection+" "+string(account.ID)]
		expected := fmt.Sprintf("at least the max_tokens of its services, %d", largest)
		f.Fault("token_burst", expected, fmt.Sprint(account.TokenBurst))
	}
}

// checkKeys reports a key that would authenticate two accounts.
func (b *builder) checkKeys() {
	owner := make(map[string]identifier.AccountID)
	for _, id := range slices.Sorted(maps.Keys(b.catalog.Accounts)) {
		for _, hash := range b.catalog.Accounts[id].KeyHashes {
			if first, ok := owner[hash]; ok {
				f := b.forms[accountSection+" "+string(id)]
				f.Fault("key_sha256", "a key of no other account", fmt.Sprintf("a key of %s", first))
				continue
			}
			owner[hash] = id
		}
	}
}
