package loader

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/bencher"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Arrival is one request of a run.
type Arrival struct {
	Number  int
	Kind    Kind
	Account identifier.AccountID
	// Client tells which of the account's clients sends it.
	Client int
	// At is when it arrives, from the start of the run.
	At timekeeper.Duration
	// Prompt and Answer are set for a model service.
	Prompt string
	Answer identifier.Tokens
	// Repeats is the number of the arrival whose key this one carries once
	// more, or its own.
	Repeats int
}

// repeated is the share of keyed requests that are sent a second time under
// their key, by another client, repeatAfter the first.
const (
	repeated    = 0.25
	repeatAfter = 20 * timekeeper.Millisecond
)

// Schedule draws the arrivals of a run in the order of their instants. The
// times between two of a kind are exponentially distributed, and no answer is
// waited for.
func Schedule(mix Mix, window timekeeper.Duration, maxRequests int, rng *rand.Rand) []Arrival {
	var arrivals []Arrival
	for _, k := range mix.Kinds {
		arrivals = append(arrivals, scheduleKind(k, window, rng)...)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return numbered(arrivals, maxRequests)
}

func scheduleKind(k Kind, window timekeeper.Duration, rng *rand.Rand) []Arrival {
	var arrivals []Arrival
	at := 0.0
	for k.Rate > 0 {
		at += rng.ExpFloat64() / k.Rate
		if at >= window.Seconds() {
			break
		}
		a := Arrival{
			Kind:    k,
			Account: drawAccount(k.Accounts, rng),
			Client:  rng.IntN(clientsByAccount),
			At:      timekeeper.Duration(at * float64(timekeeper.Second)),
		}
		if k.Service.Kind == catalog.ModelService {
			a.Prompt = drawPrompt(k, a.Account, rng)
			a.Answer = identifier.Tokens(between(k.Answer, rng))
		}
		arrivals = append(arrivals, a)
	}
	return arrivals
}

// numbered numbers arrivals, and puts the repeats of keyed ones behind them.
func numbered(arrivals []Arrival, maxRequests int) []Arrival {
	var all []Arrival
	keyed := 0
	for _, a := range arrivals {
		if len(all) >= maxRequests {
			break
		}
		a.Number = len(all)
		a.Repeats = a.Number
		all = append(all, a)
		if !a.Kind.Keyed() {
			continue
		}
		keyed++
		if keyed%int(1/repeated) == 0 && len(all) < maxRequests {
			again := a
			again.Number = len(all)
			again.Client++
			again.At += repeatAfter
			all = append(all, again)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

func drawAccount(accounts []bencher.AccountSpec, rng *rand.Rand) identifier.AccountID {
	total := 0.0
	for _, a := range accounts {
		total += a.Share
	}
	drawn := rng.Float64() * total
	for _, a := range accounts {
		drawn -= a.Share
		if drawn < 0 {
			return a.ID
		}
	}
	return accounts[len(accounts)-1].ID
}

func between(bounds [2]int, rng *rand.Rand) int {
	return bounds[0] + rng.IntN(bounds[1]-bounds[0]+1)
}

// drawPrompt writes a prompt: blocks that the account's requests share, blocks
// that those about one document share, and text of its own. Whole blocks of an
// engine's prefix cache are shared.
func drawPrompt(k Kind, account identifier.AccountID, rng *rand.Rand) string {
	tokens := between(k.Prompt, rng)
	service := string(k.Service.Name)
	var b strings.Builder
	b.WriteString(textOf(service+" "+string(account), k.AccountBlocks*encoder.BlockTokens))
	if k.Documents > 0 {
		document := strconv.Itoa(rng.IntN(k.Documents))
		b.WriteString(textOf(service+" document "+document, k.DocumentBlocks*encoder.BlockTokens))
	}
	own := tokens - b.Len()/encoder.BytesPerToken
	b.WriteString(textFrom(max(own, 1), rng))
	return b.String()
}

// textOf returns the text of so many tokens that belongs to a name.
func textOf(name string, tokens int) string {
	return textFrom(tokens, rand.New(rand.NewPCG(xxhash.Sum64String(name), 0)))
}

func textFrom(tokens int, rng *rand.Rand) string {
	text := make([]byte, tokens*encoder.BytesPerToken)
	for i := range text {
		text[i] = byte('a' + rng.IntN('z'-'a'+1))
		if i%encoder.BytesPerToken == encoder.BytesPerToken-1 {
			text[i] = ' '
		}
	}
	return string(text)
}
