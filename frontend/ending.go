package frontend

import (
	"context"
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/resultcode"
)

// Quarantine notes requests under which back ends end, and holds them back. No method blocks.
type Quarantine interface {
	// Check returns why a request must not reach a back end; nil: it may.
	Check(fingerprints quarantine.Fingerprints) *resultcode.Failure
	// CrashCount returns under how many endings of back ends a request was.
	CrashCount(fingerprints quarantine.Fingerprints) int
	// RecordCrash notes that a back end ended while it ran a request.
	RecordCrash(identity quarantine.Identity, service string, backend quarantine.BackendRun)
	// RecordSuccess notes that a back end answered a request.
	RecordSuccess(fingerprints quarantine.Fingerprints)
}

// noQuarantine notes nothing.
type noQuarantine struct{}

func (noQuarantine) Check(quarantine.Fingerprints) *resultcode.Failure              { return nil }
func (noQuarantine) CrashCount(quarantine.Fingerprints) int                         { return 0 }
func (noQuarantine) RecordCrash(quarantine.Identity, string, quarantine.BackendRun) {}
func (noQuarantine) RecordSuccess(quarantine.Fingerprints)                          {}

const (
	// livenessWait is how long a request whose connection broke waits to learn whether its
	// back end has ended. A refusal takes a round trip: 3 ms between zones.
	livenessWait = 25 * time.Millisecond
	// livenessAgain is when a back end that still accepts connections is looked at once
	// more: a process that ends closes its connections and its listener one by one.
	livenessAgain = 100 * time.Millisecond
)

// identity is what tells the request apart from others but not from its repeats.
func (c *call) identity() quarantine.Identity {
	return quarantine.Identity{
		Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI, Caller: callerOf(c.request.RemoteAddr),
		Body: c.body, Length: c.request.ContentLength,
	}
}

// identify sets the call's fingerprints. The daemon that the caller reached has made the exact one
// of a request that is forwarded, whose caller the other one does not see.
func (c *call) identify() {
	c.fingerprints = c.identity().Fingerprints()
	if !c.forwarded {
		return
	}
	if told, err := quarantine.ParseFingerprint(c.request.Header.Get(HeaderFingerprint)); err == nil {
		c.fingerprints.Exact = told
	}
}

// endedUnder says whether the back end of a place ended under the request, whose connection to it
// broke. It blocks for at most livenessWait; the look goes on behind it.
func (a *attempter) endedUnder(chosen *place) bool {
	client, _ := a.call.service.Client(chosen.backend)
	if client == nil {
		return false
	}
	first := make(chan backend.Liveness, 1)
	go a.lookAt(client, chosen, first)
	timer := time.NewTimer(livenessWait)
	defer timer.Stop()
	select {
	case liveness := <-first:
		return liveness == backend.Ended
	case <-timer.C:
		return false
	}
}

// lookAt tells what became of a back end whose connection broke, and what it saw first.
func (a *attempter) lookAt(client *backend.Client, chosen *place, first chan<- backend.Liveness) {
	liveness := client.Liveness(context.Background())
	if liveness != backend.Ended {
		first <- liveness
		time.Sleep(livenessAgain)
		a.connectionBroke(chosen, client.Liveness(context.Background()))
		return
	}
	a.connectionBroke(chosen, liveness)
	first <- liveness
}

// connectionBroke logs and counts what became of a back end whose connection broke under the
// request, and notes that it ended. One that was leaving ends by plan.
func (a *attempter) connectionBroke(chosen *place, liveness backend.Liveness) {
	c := a.call
	a.handler.metrics.broken[liveness].Inc(1)
	if liveness == backend.Ended && c.service.IsEligible(chosen.backend) {
		a.handler.options.Quarantine.RecordCrash(c.identity(), c.service.Name(), quarantine.RunOf(chosen.backend, chosen.started))
	}
	a.handler.log.Info("connection broke", "request", c.id, "service", c.service.Name(), "backend", chosen.backend, "liveness", string(liveness),
		"fingerprint", c.fingerprints.Exact.String(), "broad", c.fingerprints.Broad.String(), "attempt_kind", chosen.kind.String(), "method", c.request.Method, "target", shortened(c.request.RequestURI),
		"caller", callerOf(c.request.RemoteAddr))
}

// maxLoggedTarget bounds what a line has of a request's target, in bytes.
const maxLoggedTarget = 128

func shortened(target string) string {
	return target[:min(len(target), maxLoggedTarget)]
}
