// Package operation makes sure that a request which must not be repeated runs
// at most once, whichever daemon its caller comes back through.
//
// A request carries a key. Before its first byte goes to a back end, the key is
// claimed in the platform's store. Claims and outcomes of one service are
// entries of a journal: a chain of small segment objects, of which only the
// last, the tail, is written, with a conditional update. Two daemons that both
// believe they dispatch the service collide on the tail, and the loser reads
// what the winner wrote before it decides again; there is no lease to lapse.
// While one write is under way the next entries gather, so that one write
// carries many claims and the platform's rate bounds writes, not operations.
//
// A key seen before gets the recorded answer, or "outcome unknown", never a
// second run. A claim whose write got no answer is read back by its token. With
// the store down nothing is claimed and nothing is run. A claim may be used
// only for a short time, measured on the monotonic clock from before its write
// began, so that a daemon that was paused does not act on an old claim; records
// are kept far longer than that.
package operation
