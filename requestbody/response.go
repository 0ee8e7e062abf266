package requestbody

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Writer returns the writer of the response to the body's request. It replaces w, the writer that New was called with.
func (b *Body) Writer(w http.ResponseWriter) http.ResponseWriter {
	if b == nil {
		return w
	}
	return &writer{ResponseWriter: w, body: b}
}

// writer writes a response that may begin before the request's body has ended.
type writer struct {
	http.ResponseWriter
	body  *Body
	begun bool

	writing atomic.Bool
	written atomic.Int64
	// What the last check for a deadlock found.
	writtenBefore, passedBefore int64
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// begin is called before the head of the response is written.
func (w *writer) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if w.body.request.ProtoMajor == 1 && !w.body.connectionReusable() {
		w.Header().Set("Connection", "close")
	}
	if w.body.Progress().Err == nil {
		time.AfterFunc(StallTimeout, w.checkDeadlock)
	}
}

// Write implements http.ResponseWriter.
func (w *writer) Write(data []byte) (int, error) {
	w.begin()
	w.writing.Store(true)
	defer w.writing.Store(false)
	n, err := w.ResponseWriter.Write(data)
	w.written.Add(int64(n))
	return n, err
}

// FlushError implements flushing for http.ResponseController.
func (w *writer) FlushError() error {
	w.begin()
	w.writing.Store(true)
	defer w.writing.Store(false)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// checkDeadlock ends the response if nothing has moved since the last check: a caller that reads the response only after
// it has sent its whole body, and a back end that reads the body only after its whole response was taken, wait for
// each other. Pauses of either side alone are not limited.
func (w *writer) checkDeadlock() {
	b := w.body
	b.mutex.Lock()
	ended, blocked, passed := b.err != nil, !b.reading, b.passed
	b.mutex.Unlock()
	if ended {
		return
	}
	written := w.written.Load()
	if blocked && w.writing.Load() && written == w.writtenBefore && passed == w.passedBefore {
		b.end(ErrStalled)
		// An error means that the connection has been closed.
		_ = b.control.SetWriteDeadline(aLongTimeAgo)
		return
	}
	w.writtenBefore, w.passedBefore = written, passed
	time.AfterFunc(StallTimeout, w.checkDeadlock)
}
