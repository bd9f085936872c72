// Package worker runs background tasks on a bounded number of goroutines.
package worker

import (
	"context"
	"sync"
)

// Task is a piece of background work. It should end soon after ctx does.
type Task func(ctx context.Context)

// Pool runs tasks. New makes one.
type Pool struct {
	ctx   context.Context
	tasks chan Task
	done  sync.WaitGroup
}

// New starts a pool of size workers with room for backlog waiting tasks. The
// returned function ends the tasks' context and waits for the workers.
func New(size, backlog int) (*Pool, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{ctx: ctx, tasks: make(chan Task, backlog)}
	for range size {
		p.done.Go(p.work)
	}
	return p, func() {
		cancel()
		p.done.Wait()
	}
}

func (p *Pool) work() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case task := <-p.tasks:
			task(p.ctx)
		}
	}
}

// Submit queues a task. It reports false, and does nothing, when the backlog is full
// or the pool has ended.
func (p *Pool) Submit(task Task) bool {
	if p.ctx.Err() != nil {
		return false
	}
	select {
	case p.tasks <- task:
		return true
	default:
		return false
	}
}
