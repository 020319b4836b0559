// Package bencher compares the serving policy with baselines and with variants
// of itself. It runs the decision packages of the real processes (router,
// limiter, retrier, detector, planner, scaler) under an open-loop workload in
// virtual time.
//
// Everything else is a simplified model: engines with batching slots, a
// prefix cache and a link for KV exports; plain servers; load reports and cache
// events that are delayed or lost; a cloud that reclaims zones and refuses
// purchases. Each entry VM has its own instance of the decision packages and
// its own, possibly stale, view of the servers. docs/MEASUREMENTS.md lists what
// the model leaves out.
//
// A run is determined by its deployment, variant and seed. The arrivals depend
// only on the deployment and the seed, so all variants receive the same
// requests.
package bencher
