package runner

import "context"

// tasks starts goroutines for the loop and counts them. It is accessed only by
// the loop.
type tasks struct {
	ctx     context.Context
	ends    chan func()
	running int
}

func newTasks(ctx context.Context) *tasks {
	return &tasks{
		ctx:  ctx,
		ends: make(chan func()),
	}
}

// start runs work in a goroutine. The function that work returns, if not nil,
// runs in the loop after the goroutine has ended.
//
// The goroutine reports its end even after its context is cancelled, and the
// loop reads the ends of all goroutines, so that none outlives Run.
func (t *tasks) start(work func(ctx context.Context) func()) {
	t.running++
	go func() {
		t.ends <- work(t.ctx)
	}()
}

// ended handles the end of a goroutine.
func (t *tasks) ended(after func()) {
	t.running--
	if after != nil {
		after()
	}
}
