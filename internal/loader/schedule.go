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
	// Client selects the account's client that sends the request, modulo the
	// number of clients.
	Client int
	// At is the arrival time since the start of the run.
	At timekeeper.Duration
	// Prompt and Answer are set for a model service.
	Prompt string
	Answer identifier.Tokens
	// KeyNumber is the arrival number in the idempotency key: Number, or for a
	// duplicate the Number of the original.
	KeyNumber int
}

// duplicateFraction is the share of at-most-once requests that another client
// sends again under the same key, duplicateDelay after the original.
const (
	duplicateFraction = 0.25
	duplicateDelay    = 20 * timekeeper.Millisecond
)

// Schedule draws the arrivals of a run, ordered by time. The interarrival times
// of each kind are exponentially distributed and independent of answers.
func Schedule(mix Mix, window timekeeper.Duration, maxRequests int, rng *rand.Rand) []Arrival {
	var arrivals []Arrival
	for _, k := range mix.Kinds {
		arrivals = append(arrivals, scheduleKind(k, window, rng)...)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return numberArrivals(arrivals, maxRequests)
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
			Client:  rng.IntN(clientsPerAccount),
			At:      timekeeper.Duration(at * float64(timekeeper.Second)),
		}
		if k.Service.Kind == catalog.ModelService {
			a.Prompt = drawPrompt(k, a.Account, rng)
			a.Answer = identifier.Tokens(uniformInt(k.Answer, rng))
		}
		arrivals = append(arrivals, a)
	}
	return arrivals
}

// numberArrivals numbers at most maxRequests arrivals and adds the duplicates of
// at-most-once requests.
func numberArrivals(arrivals []Arrival, maxRequests int) []Arrival {
	var all []Arrival
	atMostOnce := 0
	for _, a := range arrivals {
		if len(all) >= maxRequests {
			break
		}
		a.Number = len(all)
		a.KeyNumber = a.Number
		all = append(all, a)
		if !a.Kind.AtMostOnce() {
			continue
		}
		atMostOnce++
		if atMostOnce%int(1/duplicateFraction) == 0 && len(all) < maxRequests {
			duplicate := a
			duplicate.Number = len(all)
			duplicate.Client++
			duplicate.At += duplicateDelay
			all = append(all, duplicate)
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
	point := rng.Float64() * total
	for _, a := range accounts {
		point -= a.Share
		if point < 0 {
			return a.ID
		}
	}
	return accounts[len(accounts)-1].ID
}

func uniformInt(bounds [2]int, rng *rand.Rand) int {
	return bounds[0] + rng.IntN(bounds[1]-bounds[0]+1)
}

// drawPrompt generates a prompt from blocks shared by the account's requests,
// blocks shared by the requests about one document, and unique text. The shared
// parts are multiples of the block size of an engine's prefix cache.
func drawPrompt(k Kind, account identifier.AccountID, rng *rand.Rand) string {
	tokens := uniformInt(k.Prompt, rng)
	service := string(k.Service.Name)
	var b strings.Builder
	b.WriteString(textForName(service+" "+string(account), k.AccountBlocks*encoder.BlockTokens))
	if k.Documents > 0 {
		document := strconv.Itoa(rng.IntN(k.Documents))
		b.WriteString(textForName(service+" document "+document, k.DocumentBlocks*encoder.BlockTokens))
	}
	uniqueTokens := tokens - b.Len()/encoder.BytesPerToken
	b.WriteString(randomText(max(uniqueTokens, 1), rng))
	return b.String()
}

// textForName returns a text of the given length that depends on name only.
func textForName(name string, tokens int) string {
	return randomText(tokens, rand.New(rand.NewPCG(xxhash.Sum64String(name), 0)))
}

func randomText(tokens int, rng *rand.Rand) string {
	text := make([]byte, tokens*encoder.BytesPerToken)
	for i := range text {
		text[i] = byte('a' + rng.IntN('z'-'a'+1))
		if i%encoder.BytesPerToken == encoder.BytesPerToken-1 {
			text[i] = ' '
		}
	}
	return string(text)
}
