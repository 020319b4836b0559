package scaler

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// levelTimeConstant and trendTimeConstant are the time constants of the
	// smoothed number of busy slots and of its slope.
	levelTimeConstant = 30 * timekeeper.Second
	trendTimeConstant = 3 * timekeeper.Minute
	// baseRateTimeConstant and currentRateTimeConstant are the time constants
	// of the usual and the current arrival rate.
	baseRateTimeConstant    = 20 * timekeeper.Minute
	currentRateTimeConstant = 10 * timekeeper.Second
	// penaltyTimeConstant is the time constant of the request and penalty
	// rates.
	penaltyTimeConstant = 5 * timekeeper.Minute
	// maxTrendGrowth and maxFlashGrowth limit the predicted demand, as
	// multiples of the current and of the usual level.
	maxTrendGrowth = 2.0
	maxFlashGrowth = 4.0
	// flashRatio is the growth of the arrival rate that counts as a flash
	// crowd, and flashThreshold the log-likelihood ratio required to detect
	// one. At ln 10,000 false alarms are rare, and a doubled rate of 2 requests
	// per second is detected after about 12 s.
	flashRatio     = 2.0
	flashThreshold = 9.2
)

// forecast predicts the busy slots of a pool with a smoothed level and slope
// (Holt) and a test for flash crowds on the arrivals.
//
// The test is Page's CUSUM as in Tang, Tay and Wen, "Dynamic Request
// Redirection and Elastic Service Scaling in Cloud-Centric Media Networks", eq.
// 5, on counts of a Poisson process.
type forecast struct {
	updatedAt   timekeeper.Time
	started     bool
	level       float64
	slope       float64 // per second
	interactive float64
	baseRate    float64 // arrivals per second
	baseLevel   float64
	// requestRate and penaltyRate are the arrivals and their penalties per
	// second, smoothed with the same time constant, so that their quotient is
	// the mean penalty.
	requestRate   float64
	penaltyRate   float64
	currentRate   float64
	startEvidence float64
	endEvidence   float64
	inFlashCrowd  bool
}

func (f *forecast) observe(now timekeeper.Time, d Demand) {
	elapsed := now.Sub(f.updatedAt)
	if !f.started {
		f.started = true
		f.updatedAt = now
		f.level = d.InFlight
		f.interactive = d.Interactive
		return
	}
	if elapsed <= 0 {
		return
	}
	f.updatedAt = now
	f.observeInFlight(elapsed, d)
	f.observeArrivals(elapsed, float64(d.Arrivals))
	f.requestRate = smooth(f.requestRate, float64(d.Arrivals)/elapsed.Seconds(), elapsed, penaltyTimeConstant)
	f.penaltyRate = smooth(f.penaltyRate, float64(d.TotalPenalty)/elapsed.Seconds(), elapsed, penaltyTimeConstant)
}

func (f *forecast) observeInFlight(elapsed timekeeper.Duration, d Demand) {
	previous := f.level
	f.level = smooth(f.level+f.slope*elapsed.Seconds(), d.InFlight, elapsed, levelTimeConstant)
	f.slope = smooth(f.slope, (f.level-previous)/elapsed.Seconds(), elapsed, trendTimeConstant)
	f.interactive = smooth(f.interactive, d.Interactive, elapsed, levelTimeConstant)
}

func (f *forecast) observeArrivals(elapsed timekeeper.Duration, arrivals float64) {
	rate := arrivals / elapsed.Seconds()
	if f.baseRate == 0 {
		f.baseRate, f.currentRate = rate, rate
		f.baseLevel = f.level
		return
	}
	f.currentRate = smooth(f.currentRate, rate, elapsed, currentRateTimeConstant)
	f.detectFlashCrowd(elapsed, arrivals)
	if !f.inFlashCrowd {
		f.baseRate = smooth(f.baseRate, rate, elapsed, baseRateTimeConstant)
		f.baseLevel = smooth(f.baseLevel, f.level, elapsed, baseRateTimeConstant)
	}
}

// detectFlashCrowd runs the CUSUM test for the start of a flash crowd or,
// during one, for its end.
func (f *forecast) detectFlashCrowd(elapsed timekeeper.Duration, arrivals float64) {
	expected := f.baseRate * elapsed.Seconds()
	likelihood := arrivals*math.Log(flashRatio) - expected*(flashRatio-1)
	f.startEvidence = max(0, f.startEvidence+likelihood)
	f.endEvidence = max(0, f.endEvidence-likelihood)
	switch {
	case !f.inFlashCrowd && f.startEvidence >= flashThreshold:
		f.inFlashCrowd = true
		f.endEvidence = 0
	case f.inFlashCrowd && f.endEvidence >= flashThreshold:
		f.inFlashCrowd = false
		f.startEvidence = 0
	}
}

// predict returns the predicted number of busy slots at the end of the horizon.
func (f *forecast) predict(horizon timekeeper.Duration, r Rules) float64 {
	predicted := f.level
	if r.Ahead {
		predicted = max(f.level, min(f.level+f.slope*horizon.Seconds(), maxTrendGrowth*f.level))
	}
	if r.Flash && f.inFlashCrowd && f.baseRate > 0 {
		predicted = max(predicted, f.baseLevel*min(f.currentRate/f.baseRate, maxFlashGrowth))
	}
	return predicted
}

// ratePerSlot returns the number of requests per second that one busy slot
// completes (Little's law), or 0 if it is unknown.
func (f *forecast) ratePerSlot() float64 {
	if f.level <= 0 {
		return 0
	}
	return f.currentRate / f.level
}

// meanPenalty returns the mean penalty of arriving requests, or 0 if it is
// unknown.
func (f *forecast) meanPenalty() float64 {
	if f.requestRate <= 0 {
		return 0
	}
	return f.penaltyRate / f.requestRate
}

// smooth returns the exponential moving average after the elapsed time.
func smooth(mean, sample float64, elapsed, timeConstant timekeeper.Duration) float64 {
	weight := 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
	return mean + weight*(sample-mean)
}
