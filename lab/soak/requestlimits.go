package soak

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Limits on requests that two of three configurations declare. All requests keep them but those that sendOversized sends.
const (
	soakBodyLimit   = 256 << 10
	soakIdleTimeout = 5 * time.Second
)

// hasLimits reports whether a configuration declares limits on requests.
func hasLimits(version int) bool {
	return version%3 != 0
}

// limitsResource returns the limits on requests.
func limitsResource() resource {
	return resource{Kind: "limits", Metadata: map[string]any{}, Spec: map[string]any{
		"maxHeaderBytes": 8192, "maxBodyBytes": soakBodyLimit, "headerTimeoutS": 2.5, "idleTimeoutS": soakIdleTimeout.Seconds(),
	}}
}

// limitsDeclared reports whether the newest configuration declares limits on requests, and since when its predecessors
// have done so, or not.
func (f *fleet) limitsDeclared() (declared bool, since time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return hasLimits(f.route), f.limitsChangedAt
}

// sendOversized sends a request whose body is larger than the limit, with a declared length or in chunks.
func (c *callers) sendOversized(target *process, chunked bool) {
	declared, since := c.fleet.limitsDeclared()
	unchangedFor := time.Since(since)
	id := c.nextID()
	path := "/unsafe/" + id
	var body io.Reader = strings.NewReader(strings.Repeat("o", soakBodyLimit+1))
	if chunked {
		body = io.NopCloser(body)
	}
	request, err := newRequest(target, http.MethodPost, id, path, body)
	if err != nil {
		return
	}
	c.fleet.report.recordSent(id, target.incarnationName(), true)
	response, responseBody, err := do(c.singleUseClient, request)
	if err != nil {
		c.fleet.report.count("oversized request without a response")
		return
	}
	c.fleet.report.recordResponse(id, path, response, responseBody)
	c.fleet.report.recordOversized(id, response.StatusCode, declared, unchangedFor)
}

// recordOversized records the response to a request above the limits that the configuration declares, or has ceased to
// declare, for the given time.
func (r *report) recordOversized(id string, status int, declared bool, unchangedFor time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if unchangedFor < configBound || r.faultFreeFor() < configBound+settleTime {
		return
	}
	switch {
	case declared && status == http.StatusOK:
		r.addViolation("LIMITS: %s was served although its body is larger than the limit declared %s ago", id, unchangedFor)
	case !declared && status == http.StatusRequestEntityTooLarge:
		r.addViolation("LIMITS: %s was refused although no limit has been declared for %s", id, unchangedFor)
	}
}
