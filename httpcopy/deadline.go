package httpcopy

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrLate is the cause if the server has not sent the whole response by the deadline.
const ErrLate = errors.ConstError("the server has not sent the whole response in time")

// deadlineWatch ends the reading of a response that its server has not sent by the deadline. The time in which the caller
// does not take what is there is added to the deadline.
type deadlineWatch struct {
	deadline time.Time
	latest   time.Time // zero: none
	abort    func()
	done     func() bool // reports whether the server has sent the whole response

	mutex   sync.Mutex
	timer   *time.Timer
	taken   time.Duration // spent in writes to the caller that have ended
	writing time.Time     // when the write in progress began; zero: there is none
	expired bool
	stopped bool
}

// watchDeadline returns the watch of a response, until stop is called; nil: it has no deadline.
func watchDeadline(options Options, done func() bool) *deadlineWatch {
	if options.Deadline.IsZero() || options.Buffered {
		return nil
	}
	w := &deadlineWatch{deadline: options.Deadline, latest: options.Latest, abort: options.Abort, done: done}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = time.AfterFunc(time.Until(options.Deadline), w.expire)
	return w
}

func (w *deadlineWatch) expire() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped || w.done() {
		return
	}
	if rest := time.Until(w.extended()); rest > 0 {
		w.timer.Reset(rest)
		return
	}
	w.expired = true
	w.abort()
}

// extended returns the deadline with what is added to it. While a write is in progress, it moves on.
func (w *deadlineWatch) extended() time.Time {
	extended := w.deadline.Add(w.taken)
	if !w.writing.IsZero() {
		extended = extended.Add(max(time.Since(w.writing), slowWriteTime))
	}
	if !w.latest.IsZero() && extended.After(w.latest) {
		return w.latest
	}
	return extended
}

// beginWrite and endWrite are called around each write to the caller.
func (w *deadlineWatch) beginWrite() {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writing = time.Now()
}

func (w *deadlineWatch) endWrite() {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.taken += time.Since(w.writing)
	w.writing = time.Time{}
}

// cause returns the cause of a failed read.
func (w *deadlineWatch) cause(err error) error {
	if w == nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.expired {
		return ErrLate
	}
	return err
}

func (w *deadlineWatch) stop() {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}
