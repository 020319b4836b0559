package runner

import "context"

// tasks starts goroutines for the loop and learns of their ends. Only the
// loop uses it.
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

// start runs work in a goroutine. What work returns runs in the loop once the
// goroutine has ended; it may be nil.
//
// The goroutine reports its end even after the context was cancelled, and the
// loop reads ends until none is missing, so that no goroutine outlives Run.
func (t *tasks) start(work func(ctx context.Context) func()) {
	t.running++
	go func() {
		t.ends <- work(t.ctx)
	}()
}

// ended takes the report of an end.
func (t *tasks) ended(after func()) {
	t.running--
	if after != nil {
		after()
	}
}
