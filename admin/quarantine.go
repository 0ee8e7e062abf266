package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/quarantine"
)

// PathQuarantine lists requests under which back ends ended, and takes orders about them.
const PathQuarantine = "/v1/quarantine"

// CrashingRequest is a request under which back ends ended.
type CrashingRequest struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Description string `json:"request"` // method, host, target and caller
	Crashes     int    `json:"endings"` // of back ends
	// Quarantined says that it is held back, and Ordered that an operator has ordered so.
	Quarantined bool      `json:"held"`
	Manual      bool      `json:"ordered"`
	Until       time.Time `json:"until,omitzero"` // where it is held back
}

// QuarantineUpdate holds requests back, or lets them through again. It is in force at the asked
// daemon at once, and everywhere within seconds.
type QuarantineUpdate struct {
	Fingerprints []string `json:"fingerprints"`
	Release      bool     `json:"release"`
}

// QuarantineManager is what the server asks of the daemon's quarantine. No method blocks.
type QuarantineManager interface {
	CrashingRequests() []CrashingRequest
	// Quarantine carries out an order for one request; the error is errors.NotFound where
	// nothing is noted of one that is to be let through.
	Quarantine(fingerprint quarantine.Fingerprint, release bool) error
}

// CrashingRequests returns the requests under which back ends ended.
func (c *Client) CrashingRequests(ctx context.Context) ([]CrashingRequest, error) {
	var requests []CrashingRequest
	err := c.call(ctx, http.MethodGet, PathQuarantine, nil, &requests)
	return requests, err
}

// UpdateQuarantine gives an order, and returns what is noted then.
func (c *Client) UpdateQuarantine(ctx context.Context, order QuarantineUpdate) ([]CrashingRequest, error) {
	var requests []CrashingRequest
	err := c.call(ctx, http.MethodPost, PathQuarantine, order, &requests)
	return requests, err
}

func (s *server) quarantined(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.backend.CrashingRequests())
}

func (s *server) orderQuarantine(w http.ResponseWriter, r *http.Request) {
	var order QuarantineUpdate
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, ErrorInvalid, err)
		return
	}
	fingerprints, err := parseFingerprints(order.Fingerprints)
	if err != nil {
		writeError(w, http.StatusBadRequest, ErrorInvalid, err)
		return
	}
	for _, fingerprint := range fingerprints {
		if err := s.backend.Quarantine(fingerprint, order.Release); err != nil {
			writeApplyError(w, err)
			return
		}
	}
	s.quarantined(w, r)
}

func parseFingerprints(texts []string) ([]quarantine.Fingerprint, error) {
	if len(texts) == 0 {
		return nil, errors.NotValidf("fingerprints: none; one at the least is needed: it")
	}
	var fingerprints []quarantine.Fingerprint
	for _, text := range texts {
		fingerprint, err := quarantine.ParseFingerprint(text)
		if err != nil {
			return nil, err
		}
		fingerprints = append(fingerprints, fingerprint)
	}
	return fingerprints, nil
}
