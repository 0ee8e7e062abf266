// Package admin is the operators' interface of a daemon over HTTP: changes to
// the configuration, its state, drains, health checks and metrics.
//
// Any daemon takes any operator's command. Server is the daemon's side, Client
// the command's.
package admin

import (
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/dispatch"
)

// Paths of the interface.
const (
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"
	PathApply    = "/v1/apply"
	PathDocument = "/v1/document"
	PathStatus   = "/v1/status"
	PathServices = "/v1/services"
	PathProfile  = "/debug/pprof/"
)

// ApplyRequest asks for a change.
type ApplyRequest struct {
	Edit config.Edit `json:"edit"`
	// DryRun checks the change and returns what it would do.
	DryRun bool `json:"dry_run,omitempty"`
}

// ApplyResponse says what a change did.
type ApplyResponse struct {
	Revision config.Revision       `json:"revision"`
	Changed  []config.ObjectChange `json:"changed"`
}

// ErrorKind tells errors of the interface apart.
type ErrorKind string

// The kinds of error.
const (
	ErrorInvalid     ErrorKind = "invalid"
	ErrorConflict    ErrorKind = "conflict"
	ErrorUnavailable ErrorKind = "unavailable"
	ErrorNotFound    ErrorKind = "not-found"
)

// ErrorResponse is the body of a call that failed.
type ErrorResponse struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
}

// Member is one daemon in a status.
type Member struct {
	Name     string          `json:"name"`
	Region   string          `json:"region"`
	Zone     string          `json:"zone"`
	State    string          `json:"state"`
	Revision config.Revision `json:"revision"` // in force; 0: not heard
	Problem  string          `json:"problem,omitempty"`
}

// Status says which daemon has which revision in force.
type Status struct {
	Daemon  string          `json:"daemon"`
	Version string          `json:"version"`
	Head    config.Revision `json:"head"` // highest revision heard of
	// Stored is the version at which the store has the configuration in force at the asked daemon, the era of the store before the
	// revision, and Era the latest era of which the asked daemon has heard: how often the store has come back older.
	Stored   string        `json:"stored"`
	Era      uint64        `json:"era"`
	Uptime   time.Duration `json:"uptime_ns"`
	Members  []Member      `json:"members"`
	Watching bool          `json:"watching"` // this daemon watches the platform
	// Evacuated are the zones whose back ends get no new requests from the asked daemon.
	Evacuated []string `json:"evacuated,omitempty"`
	// Quarantined is how many requests the asked daemon holds back, as back ends ended under
	// them.
	Quarantined int `json:"quarantined,omitempty"`
	// Limited is how many back ends ask for fewer requests, as the asked daemon has heard.
	Limited int `json:"limited,omitempty"`
	// Draining is how many back ends are leaving as they say themselves or the machine list does, and Paused how many have asked
	// the asked daemon for a pause.
	Draining int `json:"leaving,omitempty"`
	Paused   int `json:"paused,omitempty"`
}

// ServiceStatus is what a daemon knows of one service.
type ServiceStatus struct {
	Name       string                   `json:"name"`
	Dispatcher string                   `json:"dispatcher"`
	Waiting    int                      `json:"waiting"`
	Backends   []dispatch.BackendStatus `json:"backends"`
}
