// Package quarantine stops requests that crash back ends from reaching more of them.
//
// A request may crash every back end that starts to run it, and its caller retries it through any
// daemon, each time under a new request id. Its Fingerprint identifies it across these retries.
// Daemons record for each fingerprint which back ends crashed, exchange these records by gossip,
// and refuse a request after three back ends have crashed under it. A response from a back end to
// such a request clears its record, because most requests in flight at a back end that crashes are
// not the cause.
//
// Table does no I/O: it holds the records, merges them independently of their order, and decides
// which to evict first. Tracker is a daemon's table, safe for concurrent use; it saves the
// quarantined requests to the platform's store, so that they stay quarantined when all daemons
// have restarted.
//
// Daemons exchange wall-clock times, so that records also expire while a machine is suspended.
package quarantine
