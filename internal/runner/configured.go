package runner

// Configured reports whether the node has a configuration.
func (r *Runner) Configured() bool { return r.catalog.Load() != nil }
