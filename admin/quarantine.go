package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/quarantine"
)

// PathQuarantine lists requests under which back ends crashed, and accepts updates of their quarantine.
const PathQuarantine = "/v1/quarantine"

// CrashingRequest is a request under which back ends crashed.
type CrashingRequest struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Description string `json:"request"` // method, host, target and caller
	Crashes     int    `json:"endings"` // of back ends
	// Quarantined says that it is not sent to back ends, and Manual that an operator has quarantined it.
	Quarantined bool      `json:"held"`
	Manual      bool      `json:"ordered"`
	Until       time.Time `json:"until,omitzero"` // end of the quarantine
}

// QuarantineUpdate quarantines requests or releases them. It takes effect at the called daemon
// immediately, and at all daemons within seconds.
type QuarantineUpdate struct {
	Fingerprints []string `json:"fingerprints"`
	Release      bool     `json:"release"`
}

// QuarantineManager gives the server access to the daemon's quarantine. No method blocks.
type QuarantineManager interface {
	CrashingRequests() []CrashingRequest
	// Quarantine quarantines or releases a request. The error is errors.NotFound if a request
	// to be released is not known.
	Quarantine(fingerprint quarantine.Fingerprint, release bool) error
}

// CrashingRequests returns the requests under which back ends crashed.
func (c *Client) CrashingRequests(ctx context.Context) ([]CrashingRequest, error) {
	var requests []CrashingRequest
	err := c.call(ctx, http.MethodGet, PathQuarantine, nil, &requests)
	return requests, err
}

// UpdateQuarantine applies an update and returns the requests under which back ends crashed.
func (c *Client) UpdateQuarantine(ctx context.Context, update QuarantineUpdate) ([]CrashingRequest, error) {
	var requests []CrashingRequest
	err := c.call(ctx, http.MethodPost, PathQuarantine, update, &requests)
	return requests, err
}

func (s *server) crashingRequests(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.daemon.CrashingRequests())
}

func (s *server) updateQuarantine(w http.ResponseWriter, r *http.Request) {
	var update QuarantineUpdate
	release, ok := decodeBody(w, r, &update)
	defer release()
	if !ok {
		return
	}
	fingerprints, err := parseFingerprints(update.Fingerprints)
	if err != nil {
		writeError(w, http.StatusBadRequest, ErrorInvalid, err)
		return
	}
	for _, fingerprint := range fingerprints {
		if err := s.daemon.Quarantine(fingerprint, update.Release); err != nil {
			writeApplyError(w, err)
			return
		}
	}
	s.crashingRequests(w, r)
}

func parseFingerprints(values []string) ([]quarantine.Fingerprint, error) {
	if len(values) == 0 {
		return nil, errors.NotValidf("fingerprints: empty list")
	}
	var fingerprints []quarantine.Fingerprint
	for _, value := range values {
		fingerprint, err := quarantine.ParseFingerprint(value)
		if err != nil {
			return nil, err
		}
		fingerprints = append(fingerprints, fingerprint)
	}
	return fingerprints, nil
}
