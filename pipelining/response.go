package pipelining

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// bufferedResponse is the response to a request that was started early. It buffers what the
// handler writes until it is attached to the caller's http.ResponseWriter. It implements
// http.ResponseWriter.
type bufferedResponse struct {
	maxBody int // bytes of the body that are buffered; further writes block

	mutex           sync.Mutex
	unblocked       sync.Cond   // signals that the response was attached or aborted
	header          http.Header // the handler's, which may add trailers after the body
	committedHeader http.Header // copy of header from when the handler committed it
	status          int         // 0: no header written yet
	body            []byte
	target          http.ResponseWriter // nil: not attached yet
	aborted         bool                // the response is no longer needed
	flushRequested  bool                // the handler flushed before the response was attached

	// control is that of target; nil: not attached yet. It is used while a write to target blocks.
	control atomic.Pointer[http.ResponseController]
}

func newBufferedResponse(maxBody int) *bufferedResponse {
	r := &bufferedResponse{maxBody: maxBody, header: make(http.Header)}
	r.unblocked.L = &r.mutex
	return r
}

// Header implements http.ResponseWriter.
func (r *bufferedResponse) Header() http.Header {
	return r.header
}

// WriteHeader implements http.ResponseWriter. Interim responses (1xx) are dropped: they are of
// no use to a caller that still waits for the response to an earlier request.
func (r *bufferedResponse) WriteHeader(status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if status >= http.StatusOK {
		r.writeHeader(status)
	}
}

func (r *bufferedResponse) writeHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status, r.committedHeader = status, r.header.Clone()
	if r.target != nil {
		r.sendHeader()
	}
}

func (r *bufferedResponse) sendHeader() {
	maps.Copy(r.target.Header(), r.committedHeader)
	r.target.WriteHeader(r.status)
}

// Write implements http.ResponseWriter. It blocks while the buffer is full and the response is
// not attached.
func (r *bufferedResponse) Write(data []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.writeHeader(http.StatusOK)
	for r.target == nil && !r.aborted && len(r.body) > 0 && len(r.body)+len(data) > r.maxBody {
		r.unblocked.Wait()
	}
	if r.aborted {
		return 0, context.Canceled
	}
	if r.target != nil {
		return r.target.Write(data)
	}
	r.body = append(r.body, data...)
	return len(data), nil
}

// FlushError implements flushing for http.ResponseController. Before the response is attached,
// it only records that a flush was requested.
func (r *bufferedResponse) FlushError() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.target == nil {
		r.flushRequested = true
		return nil
	}
	return http.NewResponseController(r.target).Flush()
}

// SetWriteDeadline serves http.ResponseController. Before the response is attached, a deadline that has passed aborts it; others
// have no effect, as nothing is written to the connection.
func (r *bufferedResponse) SetWriteDeadline(deadline time.Time) error {
	if control := r.control.Load(); control != nil {
		return control.SetWriteDeadline(deadline)
	}
	if !deadline.IsZero() && time.Until(deadline) <= 0 {
		r.abort()
	}
	return nil
}

// attach sends what was buffered to target. Later writes of the handler go to target directly.
func (r *bufferedResponse) attach(target http.ResponseWriter) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.target = target
	r.control.Store(http.NewResponseController(target))
	r.unblocked.Broadcast()
	if r.status == 0 {
		return nil
	}
	r.sendHeader()
	if len(r.body) == 0 {
		return nil
	}
	_, err := target.Write(r.body)
	r.body = nil
	if err != nil || !r.flushRequested {
		return err
	}
	return http.NewResponseController(target).Flush()
}

// copyTrailers copies the headers that were set after the body. It is called after the handler
// has returned.
func (r *bufferedResponse) copyTrailers() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.Copy(r.target.Header(), r.header)
}

// abort makes blocked and later writes of the handler fail.
func (r *bufferedResponse) abort() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.aborted = true
	r.unblocked.Broadcast()
}
