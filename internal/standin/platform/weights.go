package platform

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

// weightChunkBytes is the unit in which weights are sent and the rate is shared
// among readers.
const weightChunkBytes = 64 << 10

// weightStore serves the same number of zero bytes for every model, at a total
// rate shared by all readers.
type weightStore struct {
	size    int64
	limiter *rate.Limiter
}

func newWeightStore(c Config) *weightStore {
	return &weightStore{
		size:    c.WeightBytes,
		limiter: rate.NewLimiter(rate.Limit(c.WeightRate), weightChunkBytes),
	}
}

func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	if unavailable(w, p.switches.Get().WeightOutage) {
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(p.weights.size, 10))
	zeros := make([]byte, weightChunkBytes)
	for remaining := p.weights.size; remaining > 0; {
		n := min(remaining, weightChunkBytes)
		if err := p.weights.limiter.WaitN(r.Context(), int(n)); err != nil {
			return
		}
		if _, err := w.Write(zeros[:n]); err != nil {
			return
		}
		remaining -= n
	}
}
