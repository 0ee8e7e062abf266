// Package pushback tracks which back ends have asked this daemon for a pause.
//
// A back end that refuses a request with status 503 and a Retry-After header wants no requests from the daemon that
// sent it for that long. This applies to this daemon only, for all routes and all kinds of requests, because other
// daemons were not asked. The longest requested pause counts, whatever the back end responds meanwhile, and only for
// the run that asked. A pause is neither a failure nor a request limit, and has no effect after its end: the back end
// then gets requests as before.
//
// Table is the pure part: time and randomness are passed in. Tracker is the table of a daemon, safe for concurrent use.
package pushback
