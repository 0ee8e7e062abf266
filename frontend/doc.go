// Package frontend serves the requests of callers.
//
// A request is matched to a route, which selects its service and evaluates its policy. An operation
// that must not be repeated is claimed first (package operation). Then a permit for a back end is
// acquired: from the dispatcher of the service (package slots) or, if this daemon is the dispatcher
// or the dispatcher is unreachable or has a stale configuration, locally (package dispatch). The
// request is sent (package backend) and the response is relayed as it arrives. A slow request that
// may be repeated is hedged: sent to a second back end as well. A failed request is sent again only
// if package retry and the service's retry budget allow it. Operations, and requests to services
// that ask for it, are forwarded to their dispatcher instead. Every response carries a result code
// and states whether the request was run, and the outcome of each request is logged in one line.
package frontend
