package admin

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
)

// Daemon gives the server access to the daemon. Methods may block on the
// platform or on peers until ctx ends.
type Daemon interface {
	Ready() error
	Apply(ctx context.Context, edit config.Edit) (config.Document, error)
	Plan(ctx context.Context, edit config.Edit) (config.Document, error)
	Document() config.Document
	Status(ctx context.Context) Status
	Services() []ServiceStatus
	QuarantineManager
	TenantReporter
}

// Endpoint is a method and a path of an address; an empty method stands for all.
type Endpoint struct {
	Method, Path string
}

// String returns the method and the path.
func (e Endpoint) String() string {
	return strings.TrimSpace(e.Method + " " + e.Path)
}

// endpoints holds the handlers of an address.
type endpoints map[Endpoint]http.Handler

// handler returns the handler that serves the endpoints, and nothing else.
func (e endpoints) handler() http.Handler {
	mux := http.NewServeMux()
	for endpoint, handler := range e {
		mux.Handle(endpoint.String(), handler)
	}
	return mux
}

func metricsEndpoints(metrics http.Handler) endpoints {
	return endpoints{{http.MethodGet, PathMetrics}: metrics}
}

// MetricsHandler serves only PathMetrics.
func MetricsHandler(metrics http.Handler) http.Handler {
	return metricsEndpoints(metrics).handler()
}

func readyEndpoints(daemon Daemon) endpoints {
	s := &server{daemon: daemon}
	return endpoints{{http.MethodGet, PathReady}: http.HandlerFunc(s.ready)}
}

// ReadyHandler serves only PathReady, for those who must not send commands.
func ReadyHandler(daemon Daemon) http.Handler {
	return readyEndpoints(daemon).handler()
}

func operatorEndpoints(daemon Daemon, metrics http.Handler) endpoints {
	s := &server{daemon: daemon}
	served := endpoints{{http.MethodGet, PathMetrics}: metrics}
	for endpoint, handle := range map[Endpoint]http.HandlerFunc{
		{http.MethodGet, PathHealth}:       s.health,
		{http.MethodGet, PathReady}:        s.ready,
		{http.MethodPost, PathApply}:       s.apply,
		{http.MethodGet, PathDocument}:     s.document,
		{http.MethodGet, PathStatus}:       s.status,
		{http.MethodGet, PathServices}:     s.services,
		{http.MethodGet, PathQuarantine}:   s.crashingRequests,
		{http.MethodPost, PathQuarantine}:  s.updateQuarantine,
		{http.MethodGet, PathTenants}:      s.tenants,
		{http.MethodGet, PathTenantShares}: s.tenantShares,
	} {
		served[endpoint] = handle
	}
	new(profiles).add(served)
	return served
}

// NewHandler returns the handler of the interface. metrics serves PathMetrics.
func NewHandler(daemon Daemon, metrics http.Handler) http.Handler {
	return operatorEndpoints(daemon, metrics).handler()
}

type server struct {
	daemon Daemon
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.daemon.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *server) apply(w http.ResponseWriter, r *http.Request) {
	var request ApplyRequest
	release, ok := decodeBody(w, r, &request)
	defer release()
	if !ok {
		return
	}
	if request.Edit.ID == "" {
		writeError(w, http.StatusBadRequest, ErrorInvalid, errors.NotValidf("edit.ID: empty"))
		return
	}
	apply := s.daemon.Apply
	if request.DryRun {
		apply = s.daemon.Plan
	}
	document, err := apply(r.Context(), request.Edit)
	if err != nil {
		writeApplyError(w, err)
		return
	}
	response := ApplyResponse{Revision: document.Revision}
	if change, ok := document.FindChange(request.Edit.ID); ok {
		response.Revision, response.Changed = change.Revision, change.Objects
	}
	writeJSON(w, response)
}

func writeApplyError(w http.ResponseWriter, err error) {
	var conflict *config.ConflictError
	var invalid *config.ObjectError
	switch {
	case stderrors.As(err, &conflict):
		writeError(w, http.StatusConflict, ErrorConflict, err)
	case stderrors.As(err, &invalid):
		writeError(w, http.StatusUnprocessableEntity, ErrorInvalid, err)
	case errors.Is(err, errors.NotSupported):
		writeError(w, http.StatusConflict, ErrorConflict, err)
	case errors.Is(err, errors.NotFound):
		writeError(w, http.StatusNotFound, ErrorNotFound, err)
	default:
		writeError(w, http.StatusServiceUnavailable, ErrorUnavailable, err)
	}
}

func (s *server) document(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.daemon.Document())
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.daemon.Status(r.Context()))
}

func (s *server) services(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.daemon.Services())
}

func writeError(w http.ResponseWriter, status int, kind ErrorKind, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: the client has disconnected.
	_ = json.NewEncoder(w).Encode(ErrorResponse{Kind: kind, Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
