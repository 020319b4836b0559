package conductor

import (
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// World is what the conductor reads and updates of the rest of the state
// while it handles one event.
type World struct {
	Now        timekeeper.Time
	Catalog    *catalog.Catalog // nil until the first configuration is known
	Members    *gossiper.Members
	Limits     *limiter.Limits
	Budgets    *retrier.Budgets
	Suspicions *detector.Suspicions
	Hints      *router.Hints
	Claims     *claimer.Table
	// Quarantine knows the requests under which servers ended.
	Quarantine *quarantiner.Quarantine
	Loads      map[identifier.VMID]messenger.ServerLoad
	Rand       *rand.Rand
}
