// Package backendlimit tracks how many requests a second back ends accept.
//
// A back end that accepts few requests names a limit with its responses: the number of requests a second
// that it takes from all daemons together, for as long as it names the limit. A daemon learns it from a response
// to a request or a probe. The daemon that grants the permits of the service is notified at once, and all
// others within a second or two. Package routing enforces the limit where permits are granted.
//
// The newest statement of a back end counts. A response without a limit ends it, if the request was sent after
// the limit was received: an earlier request may have been answered before the limit was set. A back end that
// has restarted has no limit until it names one. A limit that cannot be parsed changes nothing.
//
// Table is the pure part: time is passed in. Tracker is a daemon's table, safe for concurrent use.
package backendlimit
