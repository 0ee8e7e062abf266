// Package routing decides which back end serves a request.
//
// A Group holds what one daemon knows of the back ends of one service: its own
// requests in flight, latencies seen, load reports with their age, what peers
// have told, drains and ejections. A Picker chooses among the candidates that
// may take the request now. When none may, the request waits at the daemon
// (package admission), where it can still go to whichever back end is free
// first, instead of waiting in the queue of one that turns out slow.
//
// Everything here is pure: time, randomness and state are passed in, nothing
// blocks and nothing is safe for concurrent use. Package dispatch owns a Group
// in the daemon; the lab's simulator owns the same Group in virtual time.
package routing
