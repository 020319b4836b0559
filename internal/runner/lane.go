package runner

import "context"

// job is one piece of work in a lane. Its end runs in the loop.
type job func(ctx context.Context) func()

// lanes runs jobs that must not overtake one another: those with one key run
// one at a time and in order. Queues and the number of lanes that run at once
// are bounded. Only the loop uses it.
type lanes struct {
	tasks *tasks
	limit int // of lanes that run at once
	depth int // of the queue of a lane
	byKey map[string]*lane
	ready []*lane
	busy  int
}

type lane struct {
	key    string
	queue  []job
	active bool // running or in ready
}

func newLanes(t *tasks, limit, depth int) *lanes {
	return &lanes{
		tasks: t,
		limit: limit,
		depth: depth,
		byKey: make(map[string]*lane),
	}
}

// push adds a job to the lane of key, or returns false when that is full.
func (l *lanes) push(key string, j job) bool {
	ln := l.byKey[key]
	if ln == nil {
		ln = &lane{key: key}
		l.byKey[key] = ln
	}
	if len(ln.queue) >= l.depth {
		return false
	}
	ln.queue = append(ln.queue, j)
	l.activate(ln)
	l.dispatch()
	return true
}

// waiting returns the number of jobs of key that have not begun.
func (l *lanes) waiting(key string) int {
	if ln := l.byKey[key]; ln != nil {
		return len(ln.queue)
	}
	return 0
}

// idle reports whether no job of key waits or runs.
func (l *lanes) idle(key string) bool { return l.byKey[key] == nil }

func (l *lanes) activate(ln *lane) {
	if !ln.active {
		ln.active = true
		l.ready = append(l.ready, ln)
	}
}

func (l *lanes) dispatch() {
	for l.busy < l.limit && len(l.ready) > 0 {
		ln := l.ready[0]
		l.ready = l.ready[1:]
		l.run(ln)
	}
}

func (l *lanes) run(ln *lane) {
	j := ln.queue[0]
	ln.queue = ln.queue[1:]
	l.busy++
	l.tasks.start(func(ctx context.Context) func() {
		after := j(ctx)
		return func() {
			if after != nil {
				after()
			}
			l.finished(ln)
		}
	})
}

func (l *lanes) finished(ln *lane) {
	l.busy--
	ln.active = false
	if len(ln.queue) > 0 {
		l.activate(ln)
	} else {
		delete(l.byKey, ln.key)
	}
	l.dispatch()
}
