package hoster

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/engine"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Group describes the backend servers of a pool, all with the same
// configuration.
type Group struct {
	Kind  catalog.ServiceKind
	Class identifier.VMClass
	// Count is the number of initial VMs, spread over the zones. The last
	// OnDemand of them are not reclaimable.
	Count    int
	OnDemand int
	// Engine holds the pool's name and the configuration of its engines. Plain
	// pools use only Pool and Slots.
	Engine engine.Config
}

// GroupError reports an invalid key or value in the text of a group.
type GroupError struct {
	Key   string
	Value string
	Cause error
}

var _ error = (*GroupError)(nil)

func (e *GroupError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("group: %s=%s: %v", e.Key, e.Value, e.Cause)
	}
	return fmt.Sprintf("group: %s=%s: unknown key or invalid value", e.Key, e.Value)
}

func (e *GroupError) Unwrap() error { return e.Cause }

// defaultReportLag is the default delay of load reports and cache events.
const defaultReportLag = 500 * timekeeper.Millisecond

// ParseGroup parses a group from text such as
// "pool=reading,kind=model,count=10,model=report,slots=8". Its error is a
// *GroupError.
func ParseGroup(text string) (Group, error) {
	g := Group{
		Kind:  catalog.ModelService,
		Count: 1,
		Engine: engine.Config{
			LoadLag:  defaultReportLag,
			CacheLag: defaultReportLag,
		},
	}
	for pair := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(pair, "=")
		known, err := g.set(key, value)
		if err != nil || !known {
			return Group{}, &GroupError{
				Key:   key,
				Value: value,
				Cause: err,
			}
		}
	}
	if g.Engine.Pool == "" {
		return Group{}, &GroupError{Key: "pool"}
	}
	return g, nil
}

// set sets one field by its key. It reports whether the key is known.
func (g *Group) set(key, value string) (known bool, err error) {
	c := &g.Engine
	switch key {
	case "pool":
		c.Pool = identifier.PoolName(value)
	case "kind":
		g.Kind = catalog.ServiceKind(value)
		return g.Kind == catalog.ModelService || g.Kind == catalog.PlainService, nil
	case "class":
		g.Class = identifier.VMClass(value)
	case "model":
		c.Model = identifier.ModelName(value)
	case "count":
		g.Count, err = strconv.Atoi(value)
	case "on_demand":
		g.OnDemand, err = strconv.Atoi(value)
	case "slots":
		c.Slots, err = strconv.Atoi(value)
	case "max_waiting":
		c.MaxWaiting, err = strconv.Atoi(value)
	case "cache_blocks":
		c.CacheBlocks, err = strconv.Atoi(value)
	case "tokens_per_second":
		c.TokensPerSecond, err = strconv.ParseFloat(value, 64)
	case "prefill_per_second":
		c.PrefillPerSecond, err = strconv.ParseFloat(value, 64)
	case "kv_tokens":
		c.KVTokens, err = parseInt[identifier.Tokens](value)
	case "kv_bytes_per_token":
		c.KVBytesPerToken, err = parseInt[identifier.Bytes](value)
	case "transfer_rate":
		c.TransferRate, err = parseInt[identifier.BytesPerSecond](value)
	case "checks_fence":
		c.ChecksFence, err = strconv.ParseBool(value)
	case "load_lag":
		c.LoadLag, err = timekeeper.ParseDuration(value)
	case "cache_lag":
		c.CacheLag, err = timekeeper.ParseDuration(value)
	default:
		return false, nil
	}
	return true, err
}

func parseInt[T ~int64](text string) (T, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	return T(n), err
}
