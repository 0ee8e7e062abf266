package peer

import "sync"

// background is a group of tasks that run in goroutines of their own. The zero value is ready for use.
type background struct {
	tasks sync.WaitGroup
	mutex sync.Mutex
	ended bool // no further task is started
}

// start runs a task, unless the group has ended: calls of other daemons still arrive while this one ends.
func (b *background) start(task func()) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.ended {
		b.tasks.Go(task)
	}
}

// end starts no further task and blocks until all have returned.
func (b *background) end() {
	b.mutex.Lock()
	b.ended = true
	b.mutex.Unlock()
	b.tasks.Wait()
}
