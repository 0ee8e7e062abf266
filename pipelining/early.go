package pipelining

import (
	"context"
	"net/http"
)

// early is a request that was started before net/http came to it.
type early struct {
	request  *http.Request
	method   string
	target   string // as sent
	host     string
	id       string
	answer   *answer
	cancel   context.CancelFunc
	done     chan struct{} // closed when the handler has returned
	panicked any           // what the handler ended with; valid once done is closed
}

func newEarly(request *http.Request, cancel context.CancelFunc, options Options) *early {
	return &early{
		request: request, method: request.Method, target: request.RequestURI, host: request.Host, id: request.Header.Get(options.IDHeader),
		answer: newAnswer(options.MaxBufferedBodyBytes), cancel: cancel, done: make(chan struct{}),
	}
}

// run hands the request to the handler. What the handler panics with is for net/http, as
// a panic of any handler is.
func (e *early) run(handler http.Handler) {
	defer close(e.done)
	defer func() { e.panicked = recover() }()
	handler.ServeHTTP(e.answer, e.request)
}

// same says whether this is the request that net/http has come to.
func (e *early) same(r *http.Request, idHeader string) bool {
	return e.method == r.Method && e.target == r.RequestURI && e.host == r.Host && e.id == r.Header.Get(idHeader)
}

// deliver passes the answer on as net/http's own handler would. It blocks until the
// answer has been written; ctx ends when the caller leaves.
func (e *early) deliver(ctx context.Context, w http.ResponseWriter) {
	defer e.cancel()
	stop := context.AfterFunc(ctx, e.abandon)
	defer stop()
	err := e.answer.turn(w)
	if err != nil {
		e.abandon()
	}
	<-e.done
	if e.panicked != nil {
		panic(e.panicked)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.answer.complete()
}

// abandon ends the request: nobody waits for it any more.
func (e *early) abandon() {
	e.cancel()
	e.answer.abandon()
}
