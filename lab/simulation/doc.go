// Package simulation is a discrete-event simulator of daemons that share the
// slots of a few back ends. Time is virtual and randomness is seeded; decisions
// are made by the product's own packages (dispatch.Core with its routing and
// admission), not by copies.
//
// Run simulates a Scenario. Requests arrive open-loop at random daemons. Daemons and
// back ends are in zones; a message takes SameZoneDelay within a zone and CrossZoneDelay
// between zones, each way, and each daemon that it passes adds HopCost. A back end serves
// up to Slots requests at once and queues the others first in, first out. Service times
// are exponential. A noisy neighbour slows down all work on its machine by Slowdown, the
// requests in service included, during periods of exponential length. Latency is the time
// from the arrival of a request at a daemon to the arrival of its response there.
//
// Replay runs the decisions of one dispatcher (which requests wait or are refused, which
// back ends get them, which are hedged) against a load pattern (patterns/*.toml). Callers
// obey Retry-After, within their deadlines. Back ends slow down when full, reject requests,
// become unreachable, join or slow down as the pattern says. Arrivals and service times do
// not depend on the decisions.
package simulation
