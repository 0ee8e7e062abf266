package frontend

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/resultcode"
)

// forwardClients holds the clients for the forward addresses of other daemons.
type forwardClients struct {
	network network.Network
	mutex   sync.Mutex
	clients map[string]*backend.Client
}

func newForwardClients(network network.Network) *forwardClients {
	return &forwardClients{network: network, clients: make(map[string]*backend.Client)}
}

func (f *forwardClients) client(address string) *backend.Client {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	client, ok := f.clients[address]
	if !ok {
		client = backend.NewClient(backend.Options{Network: f.network, Address: address})
		f.clients[address] = client
	}
	return client
}

// forward forwards the call to the dispatcher of its service. It returns false if the call must be
// served here: this daemon is the dispatcher, the dispatcher's configuration is older than this
// daemon's, or the dispatcher could not be reached and the request has not run or may be repeated.
func (a *attempter) forward(ctx context.Context) bool {
	c := a.call
	if c.forwarded || c.upgrade || c.service.Target().Service.Direct {
		return false
	}
	dispatcher, isOther := a.handler.options.Peers.DispatcherOf(c.service.Name())
	if !isOther {
		return false
	}
	a.handler.metrics.forwards.Inc(1)
	if a.handler.options.LogDecisions() {
		a.handler.routing.Info("forwarded", "request", c.id, "service", c.service.Name(), "class", c.decision.Class, "dispatcher", dispatcher.Name)
	}
	forwarded := c.outgoingRequest(c.request, a.handler.options.Dialect)
	forwarded.Header.Set(HeaderForwardedBy, a.handler.options.Name)
	if name := c.caller.TenantName(); name != "" {
		forwarded.Header.Set(HeaderCaller, name)
	}
	forwarded.Header.Set(HeaderFingerprint, c.fingerprints.Exact.String())
	forwarded.Header.Set(HeaderBroadFingerprint, c.fingerprints.Broad.String())
	response, err := a.handler.forwardClients.client(dispatcher.ForwardAddress).Do(ctx, forwarded)
	if err != nil {
		return a.handleForwardFailure(dispatcher.Name, err)
	}
	defer response.Body.Close()
	if c.buffered && isStale(response) {
		a.handler.log.Info("dispatcher has stale configuration; serving here", "request", c.id, "service", c.service.Name(), "dispatcher", dispatcher.Name)
		return false
	}
	a.deadline.Stop()
	if err := a.relay(ctx, response, "", resultcode.Answered); err != nil {
		a.abortResponse(err)
	}
	return true
}

// isStale reports whether another daemon did not run a request because it lacks a route, a service or
// back ends that this daemon knows.
func isStale(response *http.Response) bool {
	number, err := strconv.Atoi(response.Header.Get(resultcode.HeaderCode))
	return err == nil && resultcode.Code(number).MissingConfiguration()
}

// handleForwardFailure reports whether the call has been answered. It returns false if the call is to
// be served here instead: it certainly did not run, or may be repeated.
func (a *attempter) handleForwardFailure(name string, err error) bool {
	c := a.call
	failed := backend.AsFailure(err)
	code := failed.Code
	switch code {
	case resultcode.ConnectFailed:
		code = resultcode.PeerUnreachable
	case resultcode.ConnectionBroken:
		code = resultcode.PeerBroken
	}
	unreachable := code == resultcode.PeerUnreachable || code == resultcode.PeerBroken
	if unreachable {
		a.handler.options.Peers.Suspect(name)
	}
	a.handler.log.Warn("forwarding to dispatcher failed", "request", c.id, "service", c.service.Name(), "dispatcher", name, "code", int(code), "error", logging.ExcerptOfError(failed.Cause))
	if unreachable && c.buffered && (code == resultcode.PeerUnreachable || c.decision.Retry) {
		return false
	}
	a.respondFailure(&resultcode.Failure{Code: code, Detail: "daemon " + name})
	return true
}
