// Package backendlimit keeps what back ends say of how many requests a second they take.
//
// A back end that can take few requests says with its answers how many a second it takes from all
// daemons together, for as long as it says so. A daemon hears that with an answer to a request or
// to a probe; the daemon that gives out the places of the service is told at once, and all others
// within a second or two. Package routing keeps to it where places are given out.
//
// The newest word counts. An answer without one ends it, if its request was sent after the limit
// was heard of: what was under way before may have been answered before. A back end that has
// started again has said nothing. A word that cannot be read changes nothing.
//
// Table is the pure part: time is passed in. Keeper is a daemon's table, safe for concurrent use.
package backendlimit
