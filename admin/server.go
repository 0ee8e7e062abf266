package admin

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"net/http"

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

// MetricsHandler serves only PathMetrics.
func MetricsHandler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, metrics)
	return mux
}

// NewHandler returns the handler of the interface. metrics serves PathMetrics.
func NewHandler(daemon Daemon, metrics http.Handler) http.Handler {
	s := &server{daemon: daemon}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, s.health)
	mux.HandleFunc("GET "+PathReady, s.ready)
	mux.Handle("GET "+PathMetrics, metrics)
	mux.HandleFunc("POST "+PathApply, s.apply)
	mux.HandleFunc("GET "+PathDocument, s.document)
	mux.HandleFunc("GET "+PathStatus, s.status)
	mux.HandleFunc("GET "+PathServices, s.services)
	mux.HandleFunc("GET "+PathQuarantine, s.crashingRequests)
	mux.HandleFunc("GET "+PathTenants, s.tenants)
	mux.HandleFunc("GET "+PathTenantShares, s.tenantShares)
	mux.HandleFunc("POST "+PathQuarantine, s.updateQuarantine)
	new(profiles).handle(mux)
	return mux
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
