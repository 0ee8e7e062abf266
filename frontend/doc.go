// Package frontend takes callers' requests and sees each through to its end.
//
// A request is matched to a service and asked its policy. An operation that
// must not be repeated is claimed first (package operation). Where another
// daemon dispatches the service, the request is forwarded to it; otherwise it
// gets a place at a back end (package dispatch), is sent (package backend) and
// its answer is passed on as it comes. A failure is sent again only where
// package retry allows it. Every answer carries a result code and says whether
// the request was run.
package frontend
