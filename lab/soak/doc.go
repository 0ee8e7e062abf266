// Package soak runs real daemon processes on one machine, harms them and what they
// depend on from outside, and checks the promises all the while from what callers and
// back ends see.
//
// The platform's store and the back ends are stand-ins in this process; every daemon is
// a process of the built binary on a loopback address of its own. The links from each
// daemon to the store and from all daemons to each back end go through proxies that
// delay, cut or silence them. A schedule of faults is drawn from a seed; faults come in
// series and overlap. Only processes that the run started are ended, by their ids.
package soak
