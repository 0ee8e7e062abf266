package requestbody

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// The errors of a Body that was ended before all of it was read.
const (
	// ErrEnded: the handler has ended the body.
	ErrEnded = errors.ConstError("the request's body is no longer passed on")
	// ErrReaderGone: the transport has given up sending the body.
	ErrReaderGone = errors.ConstError("the connection to the back end ended before the request's body did")
	// ErrStalled: nothing of the body has been passed on for RestTimeout or StallTimeout.
	ErrStalled = errors.ConstError("the request's body has stalled")
)

const (
	// RestTimeout is how long a body may make no progress after the response was written. Meanwhile the request occupies a
	// slot of its back end, and a caller does not see the end of a response over HTTP/2 or in chunks.
	RestTimeout = 2 * time.Second
	// StallTimeout is how long both directions may be blocked, and how long a body may make no progress before the protocol
	// is switched.
	StallTimeout = 10 * time.Second
)

// Source is a body as the caller sends it.
type Source interface {
	io.Reader
	// Received reports whether the whole body has been read from the caller's connection. It may be called while
	// another goroutine reads.
	Received() bool
}

// Body is the body of a request that is being served. It is read by one goroutine at a time, and may be ended by another.
// The methods of a nil Body, which stands for a request without one that is passed on, do nothing.
type Body struct {
	source  Source
	request *http.Request
	control *http.ResponseController

	mutex   sync.Mutex
	idle    sync.Cond // signals that no read is in progress
	reading bool
	aborted bool  // a read from the connection was aborted or failed
	passed  int64 // bytes that were read
	err     error // why there is nothing more to read; io.EOF: all was read; nil: there may be more
	endedAt time.Time
	ended   chan struct{}
	onEnd   func() // called once the body has ended; it must not block
}

// New returns the body of a request whose handler responds with w. Nothing may have been written to w. From then on, only
// the Body may read the source, and the handler calls Finish before it returns.
func New(w http.ResponseWriter, r *http.Request, source Source) *Body {
	b := &Body{source: source, request: r, control: http.NewResponseController(w), ended: make(chan struct{})}
	b.idle.L = &b.mutex
	// An error means that the server reads nothing while a response is written anyway.
	_ = b.control.EnableFullDuplex()
	return b
}

// FromCaller returns the source of a body that is read from the caller's connection alone.
func FromCaller(body io.Reader) Source {
	return &callerSource{body: body}
}

type callerSource struct {
	body     io.Reader
	received atomic.Bool
}

// Read implements io.Reader.
func (s *callerSource) Read(target []byte) (int, error) {
	n, err := s.body.Read(target)
	if err == io.EOF {
		s.received.Store(true)
	}
	return n, err
}

// Received implements Source.
func (s *callerSource) Received() bool {
	return s.received.Load()
}

// Read implements io.Reader. It blocks until bytes arrive or the body is ended.
func (b *Body) Read(target []byte) (int, error) {
	if err := b.beginRead(); err != nil {
		return 0, err
	}
	n, err := b.source.Read(target)
	return b.endRead(n, err)
}

func (b *Body) beginRead() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.err != nil {
		return b.err
	}
	if b.reading {
		return errors.New("the request's body is read twice at the same time")
	}
	b.reading = true
	return nil
}

func (b *Body) endRead(n int, err error) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reading = false
	b.idle.Broadcast()
	if b.err != nil {
		return 0, b.err
	}
	b.passed += int64(n)
	b.aborted = b.aborted || err != nil && err != io.EOF
	if err != nil {
		b.endLocked(err)
	}
	return n, err
}

func (b *Body) endLocked(err error) {
	if b.err != nil {
		return
	}
	b.err, b.endedAt = err, time.Now()
	close(b.ended)
	if b.onEnd != nil {
		b.onEnd()
	}
}

// Received reports whether the whole body has been read from the caller's connection.
func (b *Body) Received() bool {
	return b == nil || b.source.Received()
}

// ReceivedAt returns when the end of the body was read; zero: it has not been.
func (b *Body) ReceivedAt() time.Time {
	if b == nil {
		return time.Time{}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.err != io.EOF {
		return time.Time{}
	}
	return b.endedAt
}

// Stalled reports whether the body waits for its caller to send more, or did so until it ended.
func (b *Body) Stalled() bool {
	if b == nil {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.aborted || b.reading && !b.source.Received()
}

// OnEnd makes call be called when nothing more is read of the body. call must not block.
func (b *Body) OnEnd(call func()) {
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.err != nil {
		call()
		return
	}
	b.onEnd = call
}

// Close implements io.Closer. The transport calls it when it sends nothing more of the body. The body of the caller's
// request stays open.
func (b *Body) Close() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.endLocked(ErrReaderGone)
	return nil
}

// End makes all further reads fail, unless the whole body was read before. It blocks until a read in progress has
// returned, which it aborts; nothing more can be read from an HTTP/1 connection then.
func (b *Body) End() {
	b.end(ErrEnded)
}

func (b *Body) end(cause error) {
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.endLocked(cause)
	if b.reading && !b.source.Received() {
		b.aborted = true
		// An error means that the connection has been closed, which ends the read as well.
		_ = b.control.SetReadDeadline(aLongTimeAgo)
	}
	for b.reading {
		b.idle.Wait()
	}
}

// aLongTimeAgo is a deadline that has passed.
var aLongTimeAgo = time.Unix(1, 0)

// EndWith ends the body when ctx is done. The function that it returns stops that.
func (b *Body) EndWith(ctx context.Context) (stop func() bool) {
	if b == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(ctx, b.End)
}

// connectionReusable reports whether the caller's connection can be used for another request: it holds nothing more of the
// body, and no read from it was aborted, which net/http's server takes for the end of the connection.
func (b *Body) connectionReusable() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.source.Received() && !b.aborted
}

// Progress is how far a body has been passed on.
type Progress struct {
	Bytes int64
	// Err tells how the body ended; io.EOF: as a whole one; nil: it has not ended.
	Err error
}

// Whole reports whether the whole body was passed on.
func (p Progress) Whole() bool {
	return p.Err == io.EOF
}

// Progress returns how far the body has been passed on.
func (b *Body) Progress() Progress {
	if b == nil {
		return Progress{Err: io.EOF}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Progress{Bytes: b.passed, Err: b.err}
}

// PassOn is called when the whole response, of this status, has been written. It blocks while the rest of the body is
// being passed on, and then ends the body. A server that has responded with a failure does not need the rest.
func (b *Body) PassOn(ctx context.Context, status int) Progress {
	if b.Progress().Whole() {
		return b.Progress()
	}
	// The caller may wait for the end of the response before it sends the rest. An error means that it has left.
	if status < http.StatusBadRequest && b.control.Flush() == nil {
		b.await(ctx, RestTimeout)
	}
	b.End()
	return b.Progress()
}

// Await blocks until the body has ended. It ends the body itself once nothing of it was passed on for StallTimeout, or
// when ctx is done.
func (b *Body) Await(ctx context.Context) Progress {
	if b != nil {
		b.await(ctx, StallTimeout)
	}
	return b.Progress()
}

func (b *Body) await(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for before := b.Progress(); ; {
		select {
		case <-b.ended:
			return
		case <-ctx.Done():
			b.End()
		case <-timer.C:
			now := b.Progress()
			if now.Bytes == before.Bytes {
				b.end(ErrStalled)
			}
			before = now
			timer.Reset(timeout)
		}
	}
}

// Finish ends the body. The handler calls it last, after it has written its response. On a connection that is closed after
// the response, Finish discards what still arrives for a short time, so that the caller can read the response.
func (b *Body) Finish() {
	if b == nil {
		return
	}
	b.End()
	if b.request.ProtoMajor != 1 || b.connectionReusable() {
		return
	}
	DiscardRest(b.control, b.source)
	// net/http's server tries to read the rest without a limit of time.
	_ = b.control.SetReadDeadline(aLongTimeAgo)
}

const (
	// discardTimeout and maxDiscarded bound what is read of a body that is not needed: a connection that is closed with
	// unread bytes is reset, and the caller may lose the response.
	discardTimeout = 500 * time.Millisecond
	maxDiscarded   = 1 << 20
)

// DiscardRest flushes a response after which an HTTP/1 connection is closed, and discards what still arrives of the
// request's body for a short time. Nobody else may read the body.
func DiscardRest(control *http.ResponseController, body io.Reader) {
	// Errors mean that the connection has been closed.
	if control.Flush() == nil && control.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, body, maxDiscarded)
	}
}
