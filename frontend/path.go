package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/relay"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// noRelay implements Relay without other daemons.
type noRelay struct{}

func (noRelay) HasPeers() bool  { return false }
func (noRelay) Available() bool { return false }
func (noRelay) Do(context.Context, backend.Key, bool, func() *http.Request) (*relay.Response, error) {
	return nil, &backend.Failure{Code: resultcode.BackendsUnreachable, Cause: errors.New("there is no other daemon")}
}
func (noRelay) CheckLiveness(context.Context, backend.Key) (backend.Liveness, bool) {
	return "", false
}

// promptFailure is the time within which a failed connection leaves enough time to send the same
// request through another daemon.
const promptFailure = 50 * time.Millisecond

// send sends a request to the back end of its permit, or through another daemon if this one does not
// reach the back end. It blocks until the header of the response has arrived. The error is a
// *backend.Failure.
func (a *attempter) send(ctx context.Context, sent *outboundRequest) (*http.Response, error) {
	paths, peers := a.handler.options.Paths, a.handler.options.Relay
	address := sent.client.Address()
	// A body that is streamed can be sent only once: it is not used to find out whether this daemon or
	// the back end is at fault.
	if !paths.Direct(address) && (a.call.buffered || paths.Bypassed(address)) {
		response, err := a.sendThroughPeer(ctx, sent)
		if failureCode(err) != resultcode.BackendsUnreachable || a.isCutOff() || !a.call.buffered {
			return response, err
		}
		// No other daemon can tell, and this one reaches other back ends.
		sent.permit.relayed = false
		sent.request = a.call.backendRequest(sent.permit.backend, sent.attempt, a.handler.options.Dialect)
	}
	started := time.Now()
	response, err := sent.client.Do(ctx, sent.request)
	if !failedToConnect(err) || time.Since(started) > promptFailure || !a.call.buffered || !peers.Available() {
		return response, err
	}
	relayed, relayErr := a.sendThroughPeer(ctx, sent)
	if failureCode(relayErr) == resultcode.BackendsUnreachable && !a.isCutOff() {
		sent.permit.relayed = false
		return nil, err
	}
	return relayed, relayErr
}

// sendThroughPeer sends a request through another daemon.
func (a *attempter) sendThroughPeer(ctx context.Context, sent *outboundRequest) (*http.Response, error) {
	permit, c := sent.permit, a.call
	if since := a.handler.options.Paths.CutOffSince(); !since.IsZero() {
		permit.cutOffFor = time.Since(since)
	}
	build := func() *http.Request { return c.backendRequest(permit.backend, sent.attempt, a.handler.options.Dialect) }
	permit.relayed = true
	response, err := a.handler.options.Relay.Do(ctx, a.keyOf(permit), c.buffered, build)
	if err != nil {
		if code := failureCode(err); code == resultcode.ConnectFailed || code == resultcode.BackendsUnreachable {
			a.handler.options.Paths.RecordBypass(sent.client.Address(), false)
		}
		return nil, err
	}
	permit.via = response.Peer
	a.handler.options.Paths.RecordBypass(sent.client.Address(), true)
	return response.Response, nil
}

func (a *attempter) keyOf(permit *grantedPermit) backend.Key {
	return backend.Key{Service: a.call.service.Name(), Backend: permit.backend}
}

// isCutOff reports whether this daemon is cut off from all back ends.
func (a *attempter) isCutOff() bool {
	return !a.handler.options.Paths.CutOffSince().IsZero()
}

// failureCode returns the code of a *backend.Failure; 0: err is none.
func failureCode(err error) resultcode.Code {
	var failure *backend.Failure
	if errors.As(err, &failure) {
		return failure.Code
	}
	return 0
}

// failedToConnect reports whether no connection to the back end could be opened.
func failedToConnect(err error) bool {
	return failureCode(err) == resultcode.ConnectFailed
}

// unreachableFailure returns the failure of a request that cannot be served now, as this daemon is cut
// off from all back ends and no other daemon can be asked; nil: it may be served.
func (a *attempter) unreachableFailure() *resultcode.Failure {
	if !a.isCutOff() || a.handler.options.Relay.Available() {
		return nil
	}
	return &resultcode.Failure{
		Code: resultcode.BackendsUnreachable, RetryAfter: a.retryAfterUnreachable(),
		Detail: "no back end reached for " + time.Since(a.handler.options.Paths.CutOffSince()).Round(time.Millisecond).String() + ", nor by other daemons",
	}
}

// retryAfterUnreachable returns when the caller may retry a request for which no daemon reached the back
// ends: callers return at different times, as they have waited for different times.
func (a *attempter) retryAfterUnreachable() time.Duration {
	return dispatch.RetryAfterAge(time.Now(), a.call.firstTry)
}

// outcomeOfFailure classifies a failed exchange for the state of the back end. It blocks for at most
// livenessWait.
func (a *attempter) outcomeOfFailure(permit *grantedPermit, failed *backend.Failure) routing.Outcome {
	if a.callerStalled(failed.Code) {
		return routing.CallerStalled
	}
	pathFailed := a.pathFailed(permit)
	switch failed.Code {
	case resultcode.CallerGone, resultcode.CallerGoneAfterSend, resultcode.WaitExpired:
		if pathFailed || a.isCutOff() {
			return routing.Unreached
		}
		return routing.Canceled
	case resultcode.BackendsUnreachable, resultcode.PeerBroken:
		return routing.Unreached
	case resultcode.NoBackend:
		return routing.Canceled // the daemon that was asked may not use the back end
	case resultcode.ConnectFailed:
		switch {
		case backend.IsConnectionRefused(failed.Cause):
			return routing.ConnectionRefused
		case pathFailed:
			return routing.Unreached
		}
		return routing.NoContact
	case resultcode.ConnectionBroken:
		if a.crashedDuring(permit) {
			return routing.ProcessExited
		}
	}
	if pathFailed {
		return routing.Unreached
	}
	return routing.Unserved
}

// callerStalled reports whether an exchange failed with a code because the caller sent no more of the request's body.
func (a *attempter) callerStalled(code resultcode.Code) bool {
	switch code {
	case resultcode.CallerGone, resultcode.CallerGoneAfterSend, resultcode.WaitExpired, resultcode.DeadlineExceeded:
		return a.call.streamed.Stalled()
	}
	return false
}

// pathFailed reports whether a request was sent by this daemon itself on a path that has failed, although
// other daemons reach the back end.
func (a *attempter) pathFailed(permit *grantedPermit) bool {
	client, _ := a.call.service.Client(permit.backend)
	return !permit.relayed && client != nil && a.handler.options.Paths.Bypassed(client.Address())
}
