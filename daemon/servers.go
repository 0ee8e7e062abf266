package daemon

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/pipelining"
	"github.com/tuliphall/tuliphall/requestlimits"
)

// Limits of the HTTP servers.
const (
	headerTimeout = 10 * time.Second
	// maxForwardConnections, maxAdminConnections and maxMetricsConnections limit the open connections of the other listeners
	// than that of callers.
	maxForwardConnections = 512
	maxAdminConnections   = 512
	maxMetricsConnections = 32
	// maxHTTP2HeaderBytes limits the uncompressed heads of requests over HTTP/2, with 32 bytes for each field.
	maxHTTP2HeaderBytes = 64 << 10
	// maxHTTP2Streams limits the requests of a connection at the same time, and http2ReceiveBuffer what is received of their
	// bodies and not read.
	maxHTTP2Streams    = 100
	http2ReceiveBuffer = 64 << 10
	// http2WriteTimeout is the time in which a caller must take some bytes of what is sent on a connection of HTTP/2.
	http2WriteTimeout = 30 * time.Second
)

// newServer returns a server for requests of peers, operators or callers. Heads are limited by the pipelining.Server that
// wraps its listener.
func (d *Daemon) newServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler: handler, Protocols: protocols, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: requestlimits.MaxHeadBytes,
		ErrorLog: slog.NewLogLogger(logging.Component(d.logger, "http").Handler(), slog.LevelDebug),
	}
}

// serveHTTP serves peers or operators, one request of a connection after the other.
func (d *Daemon) serveHTTP(name string, listener net.Listener, handler http.Handler, maxConnections int) *http.Server {
	guarded := pipelining.New(pipelining.Options{
		Handler: handler, Repeatable: func(*http.Request) bool { return false }, Closing: func() bool { return false }, RefuseHead: refuseHead,
		Connections: d.guard.NewPool(name, maxConnections), MaxReadAheadBytes: 1,
	})
	server := d.newServer(guarded)
	server.ConnContext = guarded.ConnContext
	d.serve(server, guarded.WrapListener(listener))
	return server
}

// serveCallers serves callers, who may pipeline requests. While the daemon is stopping,
// responses close their connections.
func (d *Daemon) serveCallers(listener net.Listener, scope tally.Scope) {
	options := d.settings.Pipelining
	d.callerPool = d.guard.NewPool("caller", d.guard.Limits().Connections)
	d.callers = pipelining.New(pipelining.Options{
		Handler: d.handler, Repeatable: d.handler.Repeatable, HasSpareCapacity: d.handler.HasSpareCapacity, Refuse: d.handler.RefuseAmbiguous, RefuseHead: d.handler.RefuseHead, RefuseStream: d.handler.RefuseStream, Closing: d.stopping.Load,
		Connections: d.callerPool, IDHeader: d.dialect.RequestID, Metrics: scope,
		MaxPerConnection: max(options.Requests, 0), MaxTotal: options.Total, MaxReadAheadBytes: options.RequestBytes, MaxBufferedBodyBytes: options.AnswerBytes,
	})
	server := d.newServer(d.callers)
	server.ConnContext = d.callers.ConnContext
	d.serve(server, d.callers.WrapListener(listener))
	http2 := d.newServer(d.callers)
	http2.ConnContext = d.callers.ConnContext
	http2.Protocols = new(http.Protocols)
	http2.Protocols.SetUnencryptedHTTP2(true)
	http2.MaxHeaderBytes = maxHTTP2HeaderBytes
	http2.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxHTTP2Streams, MaxReceiveBufferPerConnection: http2ReceiveBuffer, MaxReceiveBufferPerStream: http2ReceiveBuffer,
		WriteByteTimeout: http2WriteTimeout,
	}
	d.serve(http2, d.callers.HTTP2Listener(listener))
	d.callerServer = server
	d.requestServers = append(d.requestServers, server, http2)
}

// serve serves a listener until the daemon ends.
func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	d.servers = append(d.servers, server)
	d.running.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("server ended", "address", listener.Addr().String(), "error", err)
		}
	})
}

// refuseHead returns the response to a request of a peer or an operator whose head does not keep the limits.
func refuseHead(verdict requestlimits.Verdict, _ string, _ []byte) []byte {
	status := http.StatusRequestHeaderFieldsTooLarge
	switch verdict {
	case requestlimits.HeadTooSlow:
		status = http.StatusRequestTimeout
	case requestlimits.Overloaded:
		status = http.StatusServiceUnavailable
	}
	return pipelining.PlainRefusal(status)
}
