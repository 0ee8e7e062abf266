// Package slots lets daemons share the places that one of them, the dispatcher of
// a service, gives out at its back ends.
//
// A daemon that has a request asks the dispatcher for a place, is told the back
// end, sends the request there itself, and gives the place back with what it
// learned. Requests and answers thus take the direct way; only a few dozen bytes
// go through the dispatcher, and a dispatcher that dies cuts no request.
//
// The places of one daemon are held through a session, one stream of messages.
// When the session ends, for whatever reason, the dispatcher takes its places
// back and forgets what waited. A dispatcher that does not answer in time is
// given up on: the request has not run, and its daemon chooses a place by itself.
package slots
