// Package drain tracks which back ends are draining, and the source of that knowledge.
//
// A back end that is going to exit signals this in its responses, or the machine list states it for its machine. The
// daemon that observes the signal sends the back end no new requests from then on, and broadcasts the signal: the
// dispatcher of the service gets it at once, all other daemons within a second or two.
//
// A signal applies to one run of a back end, identified by its start time, until the same source withdraws it,
// regardless of what a directory lists and whether it lists the back end at all. A response without the signal does
// not withdraw it, nor does a response to a request that was sent before the signal was observed. A later run of the
// back end starts without a signal.
//
// Table is the pure part: time is passed in. Tracker is the table of a daemon, safe for concurrent use.
package drain
