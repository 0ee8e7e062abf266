// Package frontend takes callers' requests and sees each through to its end.
//
// A request is matched to a service and asked its policy. An operation that
// must not be repeated is claimed first (package operation). It gets a place at a
// back end, from the daemon that dispatches the service (package slots) or, where
// that is this one or knows less, here (package dispatch). It is sent (package
// backend) and its answer is passed on as it comes; a slow one that may be repeated
// is sent to a second back end beside the first. A failure is sent again only where
// package retry and the service's budget allow it. Operations, and services that
// ask for it, are forwarded to their dispatcher instead. Every answer carries a
// result code and says whether the request was run, and each request ends with one
// line in the log.
package frontend
