package pipelining

import (
	"context"
	"net/http"
)

// earlyRequest is a request that was started before net/http came to it.
type earlyRequest struct {
	request    *http.Request
	method     string
	requestURI string
	host       string
	id         string
	response   *bufferedResponse
	cancel     context.CancelFunc
	done       chan struct{} // closed when the handler has returned
	panicValue any           // recovered from the handler; valid once done is closed
}

func newEarlyRequest(request *http.Request, cancel context.CancelFunc, options Options) *earlyRequest {
	return &earlyRequest{
		request: request, method: request.Method, requestURI: request.RequestURI, host: request.Host, id: request.Header.Get(options.IDHeader),
		response: newBufferedResponse(options.MaxBufferedBodyBytes), cancel: cancel, done: make(chan struct{}),
	}
}

// run passes the request to the handler. A panic of the handler is recovered here and raised
// again by deliver, so that net/http handles it as usual.
func (e *earlyRequest) run(handler http.Handler) {
	defer close(e.done)
	defer func() { e.panicValue = recover() }()
	handler.ServeHTTP(e.response, e.request)
}

// matches reports whether r, the request that net/http has come to, is this request.
func (e *earlyRequest) matches(r *http.Request, idHeader string) bool {
	return e.method == r.Method && e.requestURI == r.RequestURI && e.host == r.Host && e.id == r.Header.Get(idHeader)
}

// deliver sends the response to w. It blocks until the response has been written; ctx ends when
// the caller closes the connection. Like a handler that net/http calls itself, it panics with the
// value that the handler panicked with, or with http.ErrAbortHandler if writing failed.
func (e *earlyRequest) deliver(ctx context.Context, w http.ResponseWriter) {
	defer e.cancel()
	stop := context.AfterFunc(ctx, e.abort)
	defer stop()
	err := e.response.attach(w)
	if err != nil {
		e.abort()
	}
	<-e.done
	if e.panicValue != nil {
		panic(e.panicValue)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.response.copyTrailers()
}

// abort cancels the request and discards its response.
func (e *earlyRequest) abort() {
	e.cancel()
	e.response.abort()
}
