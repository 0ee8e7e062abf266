// Package soak runs real daemon processes on one machine, injects faults into them and
// their dependencies from outside, and meanwhile checks the guaranteed behavior by what
// callers and back ends observe.
//
// The platform's store and the back ends are stubs in this process; each daemon is a
// process of the built binary on its own loopback address. The links from each daemon
// to the store and from all daemons to each back end pass through proxies that can
// delay, reset or stall them. The schedule of faults is derived from a seed; faults can
// follow one another closely and overlap. A run ends only processes that it started, by
// their process ids.
package soak
