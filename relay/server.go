package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/framing"
	"github.com/tuliphall/tuliphall/httpcopy"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/requestbody"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/signals"
)

// Paths tells which back ends the daemon that relays reaches.
type Paths interface {
	// Reaches reports whether this daemon reaches an address, and CutOff whether it reaches none, as far
	// as it knows. They do not block.
	Reaches(address string) bool
	CutOff() bool
	// Credible reports whether this daemon's failure to reach a back end, in an attempt that began at
	// started, says something about that back end. It may block for a fraction of a second.
	Credible(ctx context.Context, started time.Time) bool
}

// ServerOptions are the dependencies of a Server.
type ServerOptions struct {
	Services *service.Registry
	Paths    Paths
	// Signals observes the signals that back ends send with their responses.
	Signals signals.Listener
	Dialect backend.Dialect
	Log     *slog.Logger
	Metrics tally.Scope
}

// Server sends requests of other daemons to back ends.
type Server struct {
	options  ServerOptions
	log      *slog.Logger
	carried  tally.Counter
	upgraded sync.WaitGroup
}

// NewServer returns a server.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, log: logging.Component(options.Log, "relay"), carried: options.Metrics.Counter("relayed_for_others")}
}

// WaitUpgraded blocks until every upgraded connection has ended.
func (s *Server) WaitUpgraded() {
	s.upgraded.Wait()
}

// target is the back end of a relayed request.
type target struct {
	key     backend.Key
	service *service.Service
	client  *backend.Client
	started int64 // start of its current run, as it declares it
}

// ServeHTTP relays a request, or answers a check.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isCheck := r.Header.Get(headerCheck) != ""
	to := target{key: decode(r)}
	id := r.Header.Get(s.options.Dialect.RequestID)
	if failure := s.resolve(&to); failure != nil {
		if failure.Code == resultcode.BackendsUnreachable && !s.options.Paths.CutOff() {
			w.Header().Set(headerReachesOthers, headerSet)
		}
		failure.Write(w, id, s.options.Dialect.FractionalRetryAfter)
		return
	}
	if isCheck {
		s.check(w, r, to)
		return
	}
	if reason := to.service.IneligibleReason(to.key.Backend); reason != "" {
		failure := &resultcode.Failure{Code: resultcode.NoBackend, Detail: "back end " + to.key.Backend + ": " + reason}
		failure.Write(w, id, s.options.Dialect.FractionalRetryAfter)
		return
	}
	s.relay(w, r, id, to)
}

// resolve finds the back end, and returns a failure if this daemon does not know it or does not reach
// it.
func (s *Server) resolve(to *target) *resultcode.Failure {
	found, known := s.options.Services.Find(to.key.Service)
	if known {
		to.service = found
		to.client, to.started = found.Client(to.key.Backend)
	}
	if to.client == nil {
		return &resultcode.Failure{Code: resultcode.NotConfigured, Detail: "back end " + to.key.Backend + " of service " + to.key.Service + " is not known"}
	}
	if !s.options.Paths.Reaches(to.client.Address()) {
		return &resultcode.Failure{Code: resultcode.BackendsUnreachable, Detail: "this daemon does not reach back end " + to.key.Backend}
	}
	return nil
}

// check answers with the liveness of a back end, if this daemon can tell.
func (s *Server) check(w http.ResponseWriter, r *http.Request, to target) {
	started := time.Now()
	liveness := to.client.CheckLiveness(r.Context())
	if liveness == backend.Alive || s.options.Paths.Credible(r.Context(), started) {
		w.Header().Set(headerLiveness, string(liveness))
	}
	w.WriteHeader(http.StatusNoContent)
}

// relay sends a request to the back end and passes its response on.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, id string, to target) {
	started := time.Now()
	request := backend.CopyRequest(r)
	var body *requestbody.Body
	if r.ContentLength != 0 {
		body = requestbody.New(w, r, requestbody.FromCaller(r.Body))
		w, request.Body = body.Writer(w), body
	}
	defer body.End()
	response, err := to.client.Do(r.Context(), request)
	if err != nil {
		body.End()
		s.respondFailure(r.Context(), w, id, to, started, err)
		body.Finish()
		return
	}
	defer response.Body.Close()
	s.carried.Inc(1)
	s.options.Signals.Observe(signals.Response{
		Key: to.key, Started: to.started, Sent: started, RequestID: id, Status: response.StatusCode, Header: response.Header,
		Refused: s.options.Dialect.Refuses(response, to.service.Target().Service.RefusalStatus),
	})
	if err := s.pass(w, r, response, body); err != nil {
		s.log.Info("relayed response broken off", "request", id, "backend", to.key.Backend, "side", string(err.Side), "cause", logging.ExcerptOfError(err.Cause))
		panic(http.ErrAbortHandler) // the other daemon must not take the response for a complete one
	}
	body.Finish()
}

// pass passes the response of a back end on. If it came before the end of the request's body, pass blocks until the rest
// was passed on to the back end, or the daemon that received the request gives up.
func (s *Server) pass(w http.ResponseWriter, r *http.Request, response *http.Response, body *requestbody.Body) *httpcopy.Error {
	header := w.Header()
	backend.CopyHeader(header, response.Header)
	header.Set(headerRelayed, headerSet)
	if response.StatusCode == http.StatusSwitchingProtocols {
		if sent := body.Await(r.Context()); !sent.Whole() {
			return &httpcopy.Error{Side: httpcopy.Caller, Cause: sent.Err}
		}
		s.upgraded.Add(1)
		defer s.upgraded.Done()
		return httpcopy.Upgrade(w, response, func() {})
	}
	if err := httpcopy.Response(w, response, httpcopy.Options{}); err != nil {
		return err
	}
	if sent := body.PassOn(r.Context(), response.StatusCode); sent.Err == requestbody.ErrReaderGone && framing.EndsWithConnection(response) {
		return &httpcopy.Error{Side: httpcopy.Server, Cause: sent.Err}
	}
	return nil
}

// respondFailure answers a request to which the back end sent no response.
func (s *Server) respondFailure(ctx context.Context, w http.ResponseWriter, id string, to target, started time.Time, err error) {
	failed := backend.AsFailure(err)
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler) // nobody waits for the answer
	}
	code := failed.Code
	if code == resultcode.ConnectFailed {
		switch {
		case !s.options.Paths.Credible(ctx, started):
			code = resultcode.BackendsUnreachable
		case backend.IsConnectionRefused(failed.Cause):
			w.Header().Set(headerLiveness, string(backend.Exited))
		}
	}
	failure := &resultcode.Failure{Code: code, Detail: "back end " + to.key.Backend, Cause: failed.Cause}
	s.log.Info("relayed request failed", "request", id, "code", int(code), "cause", failure.LogText())
	failure.Write(w, id, s.options.Dialect.FractionalRetryAfter)
}
