package platform

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

// weightChunk is the piece in which weights go out; all readers share the
// rate piece by piece.
const weightChunk = 64 << 10

// weightStore gives every model the same number of zero bytes, at a rate that
// all readers share.
type weightStore struct {
	size  int64
	limit *rate.Limiter
}

func newWeightStore(c Config) *weightStore {
	return &weightStore{
		size:  c.WeightBytes,
		limit: rate.NewLimiter(rate.Limit(c.WeightRate), weightChunk),
	}
}

func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	if unavailable(w, p.switches.Get().WeightOutage) {
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(p.weights.size, 10))
	zeros := make([]byte, weightChunk)
	for left := p.weights.size; left > 0; {
		n := min(left, weightChunk)
		if err := p.weights.limit.WaitN(r.Context(), int(n)); err != nil {
			return
		}
		if _, err := w.Write(zeros[:n]); err != nil {
			return
		}
		left -= n
	}
}
