package relay

import (
	"net/http"
	"net/url"

	"github.com/tuliphall/tuliphall/backend"
)

// host is the Host of relayed requests. No route matches it, so that a daemon that does not know of
// relayed requests answers that it has no service for them.
const host = "relay.tuliphall.invalid"

// Headers between the daemon that asks and the one that relays.
const (
	headerService = "Tuliphall-Relay-Service"
	headerBackend = "Tuliphall-Relay-Backend"
	// headerHost holds the Host of the request.
	headerHost = "Tuliphall-Relay-Host"
	// headerCheck: the back end's liveness is asked for; there is no request.
	headerCheck = "Tuliphall-Relay-Check"
	// headerRelayed marks the response of a back end.
	headerRelayed = "Tuliphall-Relayed"
	// headerReachesOthers: the daemon does not reach this back end, but others.
	headerReachesOthers = "Tuliphall-Relay-Reaches-Others"
	// headerLiveness holds the liveness of the back end, if the daemon that relays knows it.
	headerLiveness = "Tuliphall-Relay-Liveness"
)

const headerSet = "1"

// newCheck returns a request for the liveness of a back end. Its path is ignored.
func newCheck(key backend.Key) *http.Request {
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: http.Header{headerCheck: {headerSet}}}
	encode(request, key)
	return request
}

// IsRelayed reports whether a request that arrived at a daemon's forward address is to be relayed.
func IsRelayed(r *http.Request) bool {
	return r.Host == host
}

// encode turns a request to a back end into one to the daemon that relays it.
func encode(request *http.Request, key backend.Key) {
	request.Header.Set(headerHost, request.Host)
	request.Header.Set(headerService, key.Service)
	request.Header.Set(headerBackend, key.Backend)
	request.Host = host
}

// decode is the reverse of encode.
func decode(request *http.Request) backend.Key {
	key := backend.Key{Service: request.Header.Get(headerService), Backend: request.Header.Get(headerBackend)}
	request.Host = request.Header.Get(headerHost)
	for _, name := range []string{headerHost, headerService, headerBackend, headerCheck} {
		request.Header.Del(name)
	}
	return key
}
