// Package admin is the operators' HTTP interface of a daemon: changes of the
// configuration, status, quarantine, health checks and metrics.
//
// Any daemon accepts any command. NewHandler returns the server side; Client is
// the client of the command line.
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

// ApplyRequest requests a change of the configuration.
type ApplyRequest struct {
	Edit config.Edit `json:"edit"`
	// DryRun validates the change and returns its result without applying it.
	DryRun bool `json:"dry_run,omitempty"`
}

// ApplyResponse is the result of a change.
type ApplyResponse struct {
	Revision config.Revision       `json:"revision"`
	Changed  []config.ObjectChange `json:"changed"`
}

// ErrorKind classifies errors of the interface.
type ErrorKind string

const (
	ErrorInvalid     ErrorKind = "invalid"
	ErrorConflict    ErrorKind = "conflict"
	ErrorUnavailable ErrorKind = "unavailable"
	ErrorNotFound    ErrorKind = "not-found"
)

// ErrorResponse is the body of an unsuccessful response.
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
	Revision config.Revision `json:"revision"` // in force; 0: unknown
	Problem  string          `json:"problem,omitempty"`
}

// Status holds the state of a daemon and the revision in force at every member.
type Status struct {
	Daemon  string          `json:"daemon"`
	Version string          `json:"version"`
	Head    config.Revision `json:"head"` // highest known revision
	// Stored is the store version (era and revision) of the configuration in force at the queried daemon. Era is the latest era that
	// the daemon knows: how often the store has been restored from an older backup.
	Stored   string        `json:"stored"`
	Era      uint64        `json:"era"`
	Uptime   time.Duration `json:"uptime_ns"`
	Members  []Member      `json:"members"`
	Watching bool          `json:"watching"` // this daemon watches the platform
	// Evacuated are the zones to whose back ends the queried daemon sends no new requests.
	Evacuated []string `json:"evacuated,omitempty"`
	// Quarantined is the number of requests that the queried daemon does not send to back ends, as back
	// ends crashed while running them.
	Quarantined int `json:"quarantined,omitempty"`
	// Limited is the number of back ends with a request limit that the queried daemon knows.
	Limited int `json:"limited,omitempty"`
	// Draining is the number of back ends that are draining according to themselves or the machine list, and Paused the number that
	// have asked the queried daemon for a pause.
	Draining int `json:"leaving,omitempty"`
	Paused   int `json:"paused,omitempty"`
	// Deviations are the objects that are not in force at the queried daemon, or not as they were declared.
	Deviations []config.Deviation `json:"deviations,omitempty"`
	// CutOff is how long the queried daemon has reached no back end; absent: it reaches them.
	CutOff time.Duration `json:"cut_off_ns,omitempty"`
}

// ServiceStatus is the state of one service at a daemon.
type ServiceStatus struct {
	Name       string                   `json:"name"`
	Dispatcher string                   `json:"dispatcher"`
	Waiting    int                      `json:"waiting"`
	Backends   []dispatch.BackendStatus `json:"backends"`
}
