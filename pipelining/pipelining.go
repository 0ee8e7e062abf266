package pipelining

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/requestlimits"
)

// Options configure a Server.
type Options struct {
	// Handler serves each request. Several goroutines call it for requests of one
	// connection. For requests that are started early, the http.ResponseWriter supports
	// flushing but not hijacking.
	Handler http.Handler
	// Repeatable reports whether a request may be served twice, so that it may be started
	// before the requests ahead of it have their responses. It must not block.
	Repeatable func(*http.Request) bool
	// HasSpareCapacity reports whether requests of a caller that has sent many ahead may be started early at present; nil: they
	// may. It must not block.
	HasSpareCapacity func() bool
	// Closing reports whether connections are to be closed as soon as no request that was
	// started on them is left. It must not block.
	Closing func() bool
	// Refuse responds to a request that is refused because of its head; cause is the
	// reason. It is called instead of Handler, and the connection is closed after it. nil:
	// heads are not checked.
	Refuse func(w http.ResponseWriter, r *http.Request, cause error)
	// RefuseHead returns the response, as it is written to the connection, to a request whose head does not keep the
	// limits. head is the part of it that has arrived. It must not block. nil: heads have no limits but net/http's.
	RefuseHead func(verdict requestlimits.Verdict, remote string, head []byte) []byte
	// Connections bounds the open connections and the memory of their requests; nil: there is no bound.
	Connections *overload.Pool
	// RefuseStream responds to a request over HTTP/2 for which there is no memory; nil: the response has no body.
	RefuseStream func(w http.ResponseWriter, r *http.Request)
	// IDHeader is the header that holds the id of a request.
	IDHeader string
	// Metrics count the requests that were started early; nil: they are not counted.
	Metrics tally.Scope

	// MaxPerConnection is the maximum number of requests of a connection that are started
	// early; 0: none.
	MaxPerConnection int
	// MaxTotal is the maximum number for all connections together.
	MaxTotal int
	// MaxReadAheadBytes limits the bytes that are read ahead on a connection.
	MaxReadAheadBytes int
	// MaxBufferedBodyBytes limits the buffered body of a response to a request that was
	// started early.
	MaxBufferedBodyBytes int
}

// Server is the handler of a http.Server and wraps its listener. The http.Server must use
// the Server's ConnContext.
type Server struct {
	options Options
	started tally.Counter
	pending atomic.Int64 // requests started early that net/http has not come to
	// limits are the limits on requests in force; nil: none are declared.
	limits      atomic.Pointer[requestlimits.Limits]
	connections connections
	closedIdle  tally.Counter
	// http2Listener gets the connections on which HTTP/2 is spoken; nil: there is no other server for them.
	http2Listener atomic.Pointer[http2Listener]
}

// New returns a Server with the given options.
func New(options Options) *Server {
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	if options.RefuseStream == nil {
		options.RefuseStream = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	}
	if options.HasSpareCapacity == nil {
		options.HasSpareCapacity = func() bool { return true }
	}
	if options.Connections == nil {
		options.Connections = overload.NewGuard(overload.Limits{}, tally.NoopScope).NewPool("", 0)
	}
	return &Server{
		options: options, started: options.Metrics.Counter("pipelined_requests"), closedIdle: options.Metrics.Counter("connections_closed_idle"),
	}
}

// listener wraps accepted connections in conn.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.server.options.Connections.Crowded() {
			runtime.Gosched()
		}
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := newConn(accepted, l.server); c != nil {
			return c, nil
		}
	}
}

// WrapListener returns the listener that the http.Server must serve.
func (s *Server) WrapListener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, server: s}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext is the ConnContext function for the http.Server.
func (s *Server) ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	if c, ok := accepted.(*conn); ok {
		return overload.NewContext(context.WithValue(ctx, connKey{}, c), c.tracked)
	}
	return ctx
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	switch {
	case !ok:
		s.options.Handler.ServeHTTP(w, r)
		return
	case r.ProtoMajor != 1:
		s.serveStream(c, w, r)
		return
	}
	early := c.begin(r)
	defer c.finish()
	if r.Header.Get("Upgrade") != "" {
		upgrading := &upgradeWriter{ResponseWriter: w, closes: !hasNoBody(r)}
		w = upgrading
		defer c.resumeUnlessUpgraded(upgrading)
	}
	if cause := c.checkHead(r); cause != nil {
		w.Header().Set("Connection", "close")
		s.options.Refuse(w, r, cause)
		return
	}
	if s.options.Closing() && c.closeAfter() {
		w.Header().Set("Connection", "close")
	}
	if early != nil {
		early.deliver(r.Context(), w)
		return
	}
	s.options.Handler.ServeHTTP(w, r)
}

// reserve reports whether a request may be started early, and if so counts it as pending.
func (s *Server) reserve(request *http.Request) bool {
	if s.options.Closing() || !s.options.Repeatable(request) {
		return false
	}
	if s.pending.Add(1) > int64(s.options.MaxTotal) {
		s.release()
		return false
	}
	s.started.Inc(1)
	return true
}

// release is called when net/http has come to a request that was started early, or when the
// request was discarded.
func (s *Server) release() {
	s.pending.Add(-1)
}

// drainInterval is the polling interval of Drain. Requests take as long as their back ends,
// tens of milliseconds and more.
const drainInterval = 5 * time.Millisecond

// Drain blocks until net/http has come to all requests that were started early, or ctx is
// done. It is called while Closing returns true, before http.Server.Shutdown, which closes
// connections after the current response.
func (s *Server) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for s.pending.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
