package frontend

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/resultcode"
)

// uploads bounds how many back-end slots of each service are occupied by requests whose callers are still sending their
// bodies. Others wait in turn, so that callers that send slowly or stop half-way leave slots to those that do not.
type uploads struct {
	mutex    sync.Mutex
	services map[string]*uploadQueue
}

// uploadQueue holds the uploads of one service.
type uploadQueue struct {
	running int
	waiting list.List // of chan struct{}, which are closed when it is the turn of an upload
}

const (
	// uploadShare is the part of the usable slots of a service that uploads may occupy.
	uploadShare = 0.5
	// maxWaitingUploads is how many wait for each that may run once all slots are usable. Further ones are refused at once.
	maxWaitingUploads = 4
	// uploadRetryAfter is when a caller may retry a refused upload.
	uploadRetryAfter = time.Second
)

// declaredSlots returns how many slots the back ends of a service have.
func declaredSlots(backends []config.Backend) int {
	slots := 0
	for _, each := range backends {
		slots += each.Slots
	}
	return slots
}

// shareOf returns a part of slots, which is one at least.
func shareOf(slots int, share float64) int {
	return max(int(float64(slots)*share), 1)
}

// usableSlots returns how many slots of the service may be occupied at present, as far as this daemon knows: the dispatcher of
// the service gives a back end that it does not know one request at a time at first.
func (a *attempter) usableSlots() int {
	service := a.call.service
	slots := declaredSlots(service.Target().Backends)
	if _, isOther := a.handler.options.Peers.DispatcherOf(service.Name()); isOther {
		return slots
	}
	return min(slots, service.Dispatcher.Capacity())
}

// begin waits for the turn of an upload until ctx ends, while limit uploads run and fewer than maxWaiting wait. The function that
// it returns ends the upload; it may be called more than once.
func (u *uploads) begin(ctx context.Context, service string, limit, maxWaiting int) (end func(), failure *resultcode.Failure) {
	turn, waiting, failure := u.enqueue(service, limit, maxWaiting)
	if failure != nil {
		return nil, failure
	}
	if waiting == nil {
		return u.endOnce(service), nil
	}
	select {
	case <-turn:
		return u.endOnce(service), nil
	case <-ctx.Done():
	}
	if u.leave(service, turn, waiting) {
		u.end(service)
	}
	if context.Cause(ctx) == context.DeadlineExceeded {
		return nil, &resultcode.Failure{Code: resultcode.WaitExpired, Detail: "waited for other requests whose bodies are arriving"}
	}
	return nil, &resultcode.Failure{Code: resultcode.CallerGone, Detail: "while it waited for other requests whose bodies are arriving"}
}

// beginUpload waits for the turn of a request whose body is still arriving. It returns a failure if it does not come in time.
func (a *attempter) beginUpload(ctx context.Context) *resultcode.Failure {
	c := a.call
	if c.buffered || c.upgrade || c.streamed.Received() {
		return nil
	}
	maxWaiting := maxWaitingUploads * shareOf(declaredSlots(c.service.Target().Backends), uploadShare)
	end, failure := a.handler.uploads.begin(ctx, c.service.Name(), shareOf(a.usableSlots(), uploadShare), maxWaiting)
	if failure != nil {
		return failure
	}
	a.endUpload = end
	c.streamed.OnEnd(end)
	return nil
}

// enqueue begins an upload, in which case waiting is nil, or adds it to those that wait.
func (u *uploads) enqueue(service string, limit, maxWaiting int) (turn chan struct{}, waiting *list.Element, failure *resultcode.Failure) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	queue, ok := u.services[service]
	if !ok {
		if u.services == nil {
			u.services = make(map[string]*uploadQueue)
		}
		queue = &uploadQueue{}
		u.services[service] = queue
	}
	queue.startWaiting(limit)
	if queue.running < limit {
		queue.running++
		return nil, nil, nil
	}
	if queue.waiting.Len() >= maxWaiting {
		return nil, nil, &resultcode.Failure{Code: resultcode.QueueFull, Detail: "too many requests whose bodies are arriving", RetryAfter: uploadRetryAfter}
	}
	turn = make(chan struct{})
	return turn, queue.waiting.PushBack(turn), nil
}

// startWaiting gives their turn to uploads that wait, up to a limit that may have risen.
func (q *uploadQueue) startWaiting(limit int) {
	for q.running < limit && q.waiting.Len() > 0 {
		q.running++
		close(q.waiting.Remove(q.waiting.Front()).(chan struct{}))
	}
}

// leave removes an upload from those that wait, and reports whether its turn had come.
func (u *uploads) leave(service string, turn chan struct{}, waiting *list.Element) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	select {
	case <-turn:
		return true
	default:
		u.services[service].waiting.Remove(waiting)
		return false
	}
}

// running returns how many back-end slots of a service are occupied by uploads.
func (u *uploads) running(service string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if queue, ok := u.services[service]; ok {
		return queue.running
	}
	return 0
}

func (u *uploads) endOnce(service string) func() {
	return sync.OnceFunc(func() { u.end(service) })
}

// end ends an upload. It is the turn of the one that has waited longest.
func (u *uploads) end(service string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	queue := u.services[service]
	if next := queue.waiting.Front(); next != nil {
		close(queue.waiting.Remove(next).(chan struct{}))
		return
	}
	if queue.running--; queue.running == 0 {
		delete(u.services, service)
	}
}
