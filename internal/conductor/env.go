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

// Env is the environment of one event: the state outside the conductor that it
// reads and updates while it handles the event.
type Env struct {
	Now        timekeeper.Time
	Catalog    *catalog.Catalog // nil until the first configuration is known
	Members    *gossiper.Members
	Limits     *limiter.Limits
	Budgets    *retrier.Budgets
	Suspicions *detector.Suspicions
	Hints      *router.Hints
	Claims     *claimer.Table
	// Quarantine records the servers that ended while running a request.
	Quarantine *quarantiner.Quarantine
	Loads      map[identifier.VMID]messenger.ServerLoad
	Rand       *rand.Rand
}
