// Package bencher measures the policy: a small open-loop driver, in virtual
// time, over the decision packages that the real processes run (router,
// limiter, retrier, detector, planner, scaler).
//
// The driver is no cluster simulator. It has fakes for what the decisions
// look at and act on: engines with batching slots, pace, prefix cache and a
// link for KV exports; plain servers; load reports and cache events that come
// late or not at all; a cloud that reclaims zones and refuses purchases. Each
// entry VM has its own instance of the decision packages and its own stale
// picture. What it leaves out is listed in docs/MEASUREMENTS.md.
//
// A run is one deployment, one variant of the policy and one seed, and is
// reproducible from these. The arrivals of a seed are the same for all
// variants.
package bencher
