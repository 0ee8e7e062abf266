// Package routing selects the back end that serves a request.
//
// A Group holds what one daemon knows about the back ends of one service: its own requests in
// flight, observed latencies, load reports and their age, information from peers, draining back
// ends and ejections. A Picker chooses among the candidates that may take the request now. If there
// are none, the request waits at the daemon (package admission), where it can still go to whichever
// back end has capacity first, rather than in the queue of a back end that turns out to be slow.
//
// The package is deterministic and free of side effects: time, randomness and state are passed in,
// nothing blocks, and nothing is safe for concurrent use. In the daemon, package dispatch owns a
// Group; the simulator of the lab owns the same Group in virtual time.
package routing
