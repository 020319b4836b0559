package scaler

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// levelTime and trendTime are the time constants by which the mean of the
	// busy slots and its slope follow what is seen.
	levelTime = 30 * timekeeper.Second
	trendTime = 3 * timekeeper.Minute
	// baseTime and fastTime are those of the usual and the present rate of
	// arrivals.
	baseTime = 20 * timekeeper.Minute
	fastTime = 10 * timekeeper.Second
	// stakeTime is that of the penalties at stake.
	stakeTime = 5 * timekeeper.Minute
	// maxGrowth bounds the foreseen demand as a multiple of the present one:
	// a slope is a guess.
	maxGrowth = 2.0
	maxFlash  = 4.0
	// flashRatio is the growth of arrivals that counts as a flash crowd, and
	// flashThreshold the evidence, a log-likelihood ratio, that it takes. At
	// ln 10,000 false alarms are rare, and a doubled rate of 2 requests a
	// second is seen after about 12 s.
	flashRatio     = 2.0
	flashThreshold = 9.2
)

// forecast foresees the busy slots of a pool: a mean with a slope (Holt), and
// a test for flash crowds on the arrivals.
//
// The test is Page's CUSUM as in Tang, Tay and Wen, "Dynamic Request
// Redirection and Elastic Service Scaling in Cloud-Centric Media Networks", eq. 5,
// on counts of a Poisson process.
type forecast struct {
	at          timekeeper.Time
	started     bool
	level       float64
	slope       float64 // per second
	interactive float64
	base        float64 // arrivals per second
	baseBusy    float64
	// requests and atStake are the arrivals and their penalties a second,
	// both by stakeTime, so that their quotient is a mean penalty.
	requests     float64
	atStake      float64
	fast         float64
	evidenceUp   float64
	evidenceDown float64
	flash        bool
}

func (f *forecast) observe(now timekeeper.Time, d Demand) {
	passed := now.Sub(f.at)
	if !f.started {
		f.started = true
		f.at = now
		f.level = d.InFlight
		f.interactive = d.Interactive
		return
	}
	if passed <= 0 {
		return
	}
	f.at = now
	f.observeBusy(passed, d)
	f.observeArrivals(passed, float64(d.Arrivals))
	f.requests = follow(f.requests, float64(d.Arrivals)/passed.Seconds(), passed, stakeTime)
	f.atStake = follow(f.atStake, float64(d.TotalPenalty)/passed.Seconds(), passed, stakeTime)
}

func (f *forecast) observeBusy(passed timekeeper.Duration, d Demand) {
	before := f.level
	f.level = follow(f.level+f.slope*passed.Seconds(), d.InFlight, passed, levelTime)
	f.slope = follow(f.slope, (f.level-before)/passed.Seconds(), passed, trendTime)
	f.interactive = follow(f.interactive, d.Interactive, passed, levelTime)
}

func (f *forecast) observeArrivals(passed timekeeper.Duration, arrivals float64) {
	rate := arrivals / passed.Seconds()
	if f.base == 0 {
		f.base, f.fast = rate, rate
		f.baseBusy = f.level
		return
	}
	f.fast = follow(f.fast, rate, passed, fastTime)
	f.test(passed, arrivals)
	if !f.flash {
		f.base = follow(f.base, rate, passed, baseTime)
		f.baseBusy = follow(f.baseBusy, f.level, passed, baseTime)
	}
}

// test runs the CUSUM test for the beginning of a flash crowd or, during one,
// for its end.
func (f *forecast) test(passed timekeeper.Duration, arrivals float64) {
	expected := f.base * passed.Seconds()
	likelihood := arrivals*math.Log(flashRatio) - expected*(flashRatio-1)
	f.evidenceUp = max(0, f.evidenceUp+likelihood)
	f.evidenceDown = max(0, f.evidenceDown-likelihood)
	switch {
	case !f.flash && f.evidenceUp >= flashThreshold:
		f.flash = true
		f.evidenceDown = 0
	case f.flash && f.evidenceDown >= flashThreshold:
		f.flash = false
		f.evidenceUp = 0
	}
}

// busy returns the busy slots foreseen for the end of the horizon.
func (f *forecast) busy(horizon timekeeper.Duration, r Rules) float64 {
	foreseen := f.level
	if r.Ahead {
		foreseen = max(f.level, min(f.level+f.slope*horizon.Seconds(), maxGrowth*f.level))
	}
	if r.Flash && f.flash && f.base > 0 {
		foreseen = max(foreseen, f.baseBusy*min(f.fast/f.base, maxFlash))
	}
	return foreseen
}

// perSlot returns how many requests a second one busy slot ends (Little's
// law), or 0 where that is not known yet.
func (f *forecast) perSlot() float64 {
	if f.level <= 0 {
		return 0
	}
	return f.fast / f.level
}

// penalty returns the mean penalty of the requests that arrive, or 0 where it
// is not known.
func (f *forecast) penalty() float64 {
	if f.requests <= 0 {
		return 0
	}
	return f.atStake / f.requests
}

// follow moves mean towards sample as an exponential mean of the given time
// constant does in the time that passed.
func follow(mean, sample float64, passed, constant timekeeper.Duration) float64 {
	weight := 1 - math.Exp(-passed.Seconds()/constant.Seconds())
	return mean + weight*(sample-mean)
}
