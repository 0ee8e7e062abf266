// Package slots lets daemons share the permits that one of them, the dispatcher of a service,
// grants for its back ends.
//
// A daemon that has a request acquires a permit from the dispatcher, sends the request
// directly to the back end that the permit names, and releases the permit with the outcome,
// the latency and the load report. Only a few dozen bytes per request thus pass through the
// dispatcher, and its failure interrupts no request.
//
// The permits of one daemon are held through a session, which is one stream of messages. When
// the session ends, for whatever reason, the dispatcher takes back its permits and drops its
// waiting requests. If a dispatcher does not reply in time, the request has not run, and its
// daemon chooses a back end by itself.
package slots
