// Package pushback keeps which back ends have asked this daemon for a pause.
//
// A back end that turns a request away with 503 and Retry-After wants nothing from the daemon that sent it for so
// long. That binds this daemon only, by every way and for every route: others were not asked. The longest pause
// that was asked for counts, whatever the back end answers meanwhile, and only for the run that asked. It is neither
// a failure nor a limit, and nothing is owed once it is over.
//
// Table is the pure part: time and randomness are passed in. Keeper is a daemon's table, safe for concurrent use.
package pushback
