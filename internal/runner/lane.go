package runner

import "context"

// job is a unit of work in a lane. The function that it returns runs in the
// loop.
type job func(ctx context.Context) func()

// lanes runs jobs with the same key one at a time and in order. The queue of
// each lane and the number of concurrently running lanes are bounded. It is
// accessed only by the loop.
type lanes struct {
	tasks   *tasks
	limit   int // on concurrently running lanes
	depth   int // limit on the queue of a lane
	byKey   map[string]*lane
	ready   []*lane
	running int
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

// push adds a job to the lane of key. It returns false if the lane is full.
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

// waiting returns the number of jobs of key that have not started.
func (l *lanes) waiting(key string) int {
	if ln := l.byKey[key]; ln != nil {
		return len(ln.queue)
	}
	return 0
}

// idle reports whether key has no queued or running job.
func (l *lanes) idle(key string) bool { return l.byKey[key] == nil }

func (l *lanes) activate(ln *lane) {
	if !ln.active {
		ln.active = true
		l.ready = append(l.ready, ln)
	}
}

func (l *lanes) dispatch() {
	for l.running < l.limit && len(l.ready) > 0 {
		ln := l.ready[0]
		l.ready = l.ready[1:]
		l.run(ln)
	}
}

func (l *lanes) run(ln *lane) {
	j := ln.queue[0]
	ln.queue = ln.queue[1:]
	l.running++
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
	l.running--
	ln.active = false
	if len(ln.queue) > 0 {
		l.activate(ln)
	} else {
		delete(l.byKey, ln.key)
	}
	l.dispatch()
}
