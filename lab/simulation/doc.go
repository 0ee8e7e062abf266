// Package simulation is a discrete-event simulator of daemons that share the
// slots of a few back ends. Time is virtual and randomness is seeded; decisions
// are made by the product's own packages (dispatch.Core with its routing and
// admission), not by copies.
//
// The model. Requests arrive open-loop at random daemons. Daemons and back ends
// stand in zones; a message within a zone takes WireNear, between zones WireFar,
// each way, and each daemon it passes adds HopCost. A back end works on Slots
// requests at once and queues the rest in order. Work is exponential. A noisy
// neighbour slows all work on its machine, that under way included, by Slowdown
// during spells of exponential length. Latency runs from the arrival at the
// daemon to the arrival of the answer there.
//
// Replay plays a load pattern (patterns/*.toml) to the decisions of one dispatcher: who
// waits, who is refused, where requests go, when they get a second attempt. Callers come
// back as they are told, with what is left of their time; back ends slow down when full,
// refuse, fall silent, join or slow down as the pattern says. Arrivals and work are the
// same whatever is decided.
package simulation
