package frontend

import (
	"context"
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/resultcode"
)

// Quarantine records requests that crash back ends, and keeps them from other back ends. No method
// blocks.
type Quarantine interface {
	// Check returns the failure of a quarantined request, nil for any other.
	Check(fingerprints quarantine.Fingerprints) *resultcode.Failure
	// CrashCount returns how many back ends crashed while they ran a request or its repeats.
	CrashCount(fingerprints quarantine.Fingerprints) int
	// RecordCrash records that a back end crashed while it ran a request.
	RecordCrash(fingerprints quarantine.Fingerprints, identity quarantine.Identity, service string, backend quarantine.BackendRun)
	// RecordSuccess records that a back end answered a request.
	RecordSuccess(fingerprints quarantine.Fingerprints)
}

// noQuarantine quarantines nothing.
type noQuarantine struct{}

func (noQuarantine) Check(quarantine.Fingerprints) *resultcode.Failure { return nil }
func (noQuarantine) CrashCount(quarantine.Fingerprints) int            { return 0 }
func (noQuarantine) RecordCrash(quarantine.Fingerprints, quarantine.Identity, string, quarantine.BackendRun) {
}
func (noQuarantine) RecordSuccess(quarantine.Fingerprints) {}

const (
	// livenessWait is how long a request whose connection broke waits for the liveness check of its
	// back end. A refused connection takes one round trip: 3 ms between zones.
	livenessWait = 25 * time.Millisecond
	// livenessRecheckDelay is the delay before the second check of a back end that still accepts
	// connections: an exiting process closes its connections and its listener one by one.
	livenessRecheckDelay = 100 * time.Millisecond
)

// identity returns the properties that a request shares with its repeats but not with other requests. Of a body that is
// passed on as it arrives, it knows what was held.
func (c *call) identity() quarantine.Identity {
	body := c.body
	if !c.buffered {
		body = c.held
	}
	return quarantine.Identity{
		Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI, Caller: callerIP(c.request.RemoteAddr),
		Body: body, Length: c.request.ContentLength,
	}
}

// setFingerprints sets the call's fingerprints. Those of a forwarded request are computed by the daemon that received
// it, because this daemon does not see the caller's address, and holds no part of the body.
func (c *call) setFingerprints() {
	c.fingerprints = c.identity().Fingerprints()
	if !c.forwarded {
		return
	}
	if exact, err := quarantine.ParseFingerprint(c.request.Header.Get(HeaderFingerprint)); err == nil {
		c.fingerprints.Exact = exact
	}
	if broad, err := quarantine.ParseFingerprint(c.request.Header.Get(HeaderBroadFingerprint)); err == nil {
		c.fingerprints.Broad = broad
	}
}

// crashedDuring reports whether the back end of a permit, whose connection broke, crashed while it ran
// the request. It blocks for at most livenessWait; the check continues in the background.
func (a *attempter) crashedDuring(permit *grantedPermit) bool {
	client, _ := a.call.service.Client(permit.backend)
	if client == nil {
		return false
	}
	first := make(chan backend.Liveness, 1)
	go a.checkLiveness(client, permit, first)
	timer := time.NewTimer(livenessWait)
	defer timer.Stop()
	select {
	case liveness := <-first:
		return liveness == backend.Exited
	case <-timer.C:
		return false
	}
}

// checkLiveness checks a back end whose connection broke, records the result and sends the result of
// the first check to first.
func (a *attempter) checkLiveness(client *backend.Client, permit *grantedPermit, first chan<- backend.Liveness) {
	liveness := a.liveness(client, permit)
	if liveness != backend.Exited {
		first <- liveness
		time.Sleep(livenessRecheckDelay)
		a.recordBrokenConnection(permit, a.liveness(client, permit))
		return
	}
	a.recordBrokenConnection(permit, liveness)
	first <- liveness
}

// liveness returns the liveness of a back end. A refused connection may be the fault of this daemon's
// path: another daemon decides, if there is one.
func (a *attempter) liveness(client *backend.Client, permit *grantedPermit) backend.Liveness {
	liveness := client.CheckLiveness(context.Background())
	if liveness == backend.Alive || !a.handler.options.Relay.HasPeers() {
		return liveness
	}
	if seen, known := a.handler.options.Relay.CheckLiveness(context.Background(), a.keyOf(permit)); known {
		return seen
	}
	if a.isCutOff() {
		return backend.Unreachable
	}
	return liveness
}

// recordBrokenConnection logs and counts a connection that broke during the request, by the liveness of
// the back end, and records a crash if the back end's process has ended. The exit of a back end that gets
// no new requests, for example as it is draining, is planned and not recorded as a crash.
func (a *attempter) recordBrokenConnection(permit *grantedPermit, liveness backend.Liveness) {
	c := a.call
	a.handler.metrics.broken[liveness].Inc(1)
	if liveness == backend.Exited && c.service.IsEligible(permit.backend) {
		a.handler.options.Quarantine.RecordCrash(c.fingerprints, c.identity(), c.service.Name(), quarantine.RunOf(permit.backend, permit.started))
	}
	a.handler.log.Info("connection broke", "request", c.id, "service", c.service.Name(), "backend", permit.backend, "liveness", string(liveness),
		"fingerprint", c.fingerprints.Exact.String(), "broad", c.fingerprints.Broad.String(), "attempt_kind", permit.kind.String(), "method", c.request.Method, "target", truncateTarget(c.request.RequestURI),
		"caller", callerIP(c.request.RemoteAddr))
}

// maxLoggedTarget is the maximum number of bytes of a request's target in a log line.
const maxLoggedTarget = 128

func truncateTarget(target string) string {
	return target[:min(len(target), maxLoggedTarget)]
}
