package pipelining

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// Options are what a Server is built from.
type Options struct {
	// Handler serves each request. It is called by several goroutines for requests of
	// one connection, with a http.ResponseWriter that flushes but cannot be hijacked
	// for those that are started early.
	Handler http.Handler
	// Repeatable says whether a request may be served twice, so that it may be started
	// before those ahead of it are answered. It must not block.
	Repeatable func(*http.Request) bool
	// Closing says whether connections are to be closed as soon as nothing that was
	// started on them is left. It must not block.
	Closing func() bool
	// Refuse answers a request whose head must not be served, and says why; it is called
	// instead of Handler, and the connection is closed behind it. nil: none is refused.
	Refuse func(w http.ResponseWriter, r *http.Request, cause error)
	// IDHeader is the header that tells requests apart.
	IDHeader string
	// Metrics get the number of requests that were started early; nil: none do.
	Metrics tally.Scope

	// MaxPerConnection is how many requests of a connection may be started early; 0: none.
	MaxPerConnection int
	// MaxTotal is how many requests of all connections may be.
	MaxTotal int
	// MaxReadAheadBytes bounds what is read ahead on a connection.
	MaxReadAheadBytes int
	// MaxBufferedBodyBytes bounds what is kept of the body of an answer until its turn comes.
	MaxBufferedBodyBytes int
}

// Server is the handler of a http.Server, and makes the listener that it serves. The
// http.Server must have ConnContext as its own.
type Server struct {
	options Options
	started tally.Counter
	waiting atomic.Int64 // started early, and their turn has not come

}

// New returns a server.
func New(options Options) *Server {
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	return &Server{options: options, started: options.Metrics.Counter("pipelined_requests")}
}

// listener hands out connections that are read ahead.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(accepted, l.server), nil
}

// WrapListener returns the listener to serve.
func (s *Server) WrapListener(under net.Listener) net.Listener {
	return &listener{Listener: under, server: s}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is to be the http.Server's.
func (s *Server) ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	if c, ok := accepted.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || r.ProtoMajor != 1 {
		s.options.Handler.ServeHTTP(w, r)
		return
	}
	started := c.begin(r)
	defer c.finish()
	if cause := c.malformed(r); cause != nil {
		w.Header().Set("Connection", "close")
		s.options.Refuse(w, r, cause)
		return
	}
	if s.options.Closing() && c.closeAfter() {
		w.Header().Set("Connection", "close")
	}
	if started != nil {
		started.deliver(r.Context(), w)
		return
	}
	s.options.Handler.ServeHTTP(w, r)
}

// claim says whether a request may be started early, and if so counts it.
func (s *Server) claim(request *http.Request) bool {
	if s.options.Closing() || !s.options.Repeatable(request) {
		return false
	}
	if s.waiting.Add(1) > int64(s.options.MaxTotal) {
		s.release()
		return false
	}
	s.started.Inc(1)
	return true
}

// release notes that the turn of a request has come, or that it was given up.
func (s *Server) release() {
	s.waiting.Add(-1)
}

// drainInterval is how often Drain looks. What it waits for takes as long as a back end
// takes for a request, tens of milliseconds and more.
const drainInterval = 5 * time.Millisecond

// Drain blocks until no request that was started early waits for its turn, or ctx is
// done. It is called while Closing says true, before http.Server.Shutdown, which closes
// connections after the present answer.
func (s *Server) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for s.waiting.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
