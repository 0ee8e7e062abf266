// Package operation ensures that a request which must not be repeated runs at
// most once, whichever daemon receives its retries.
//
// A request carries an idempotency key. Before its first byte goes to a back
// end, the key is claimed in the platform's store. Claims and outcomes of one
// service are entries of a journal: a chain of small segment objects, of which
// only the last, the tail, is written, with a conditional update. If two daemons
// both act as dispatcher of the service, their writes of the tail conflict, and
// the loser reads the winner's entries before it checks its claims again. This
// needs no lease that could expire. Entries that arrive during a write are
// batched into the next one, so that the platform's write rate limits writes and
// not operations.
//
// A key that was claimed before gets the recorded response or "outcome unknown",
// never a second run. If the outcome of a claim's write is unknown, the journal
// is read again and searched for the claim's token. While the store is
// unavailable, no claim is granted and no operation runs. A claim may be used
// only for a short time, measured on a monotonic clock from before its write
// began, so that a daemon that was paused does not use an expired claim; entries
// are retained much longer than that.
package operation
