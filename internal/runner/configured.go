package runner

// Configured reports whether the node has a configuration with an account. A
// node that has just started has an empty one.
func (r *Runner) Configured() bool {
	c := r.catalog.Load()
	return c != nil && len(c.Accounts) > 0
}
