// Package relay sends requests to back ends through another daemon, for a daemon whose own path to
// them has failed.
//
// Client chooses the other daemon and sends it the request; Server, on that daemon's forward address,
// sends it to the back end and passes the response on. A relayed request is never relayed again. The
// daemon that relays makes no decisions about the request: permit, deadline, retries and the record of
// an operation stay with the daemon that received it.
//
// A failure says whether the request may have run, as for a request sent directly: the other daemon
// says so, or the connection to it broke after the request was sent, and then it may have run.
package relay
