// Package reach tells which back ends this daemon can reach.
//
// A failed connection is evidence about the path between this daemon and a back end, not about the
// back end: other daemons may reach it. State distinguishes the cases from what this daemon itself
// has seen: it is cut off if none of several back ends that it checks at once accepts a connection
// while nothing is read from any other; a single path is bypassed once another daemon has reached
// the back end for it.
//
// State is pure. Monitor is its concurrent wrapper: it observes the connections to back ends and
// sends the checks.
package reach
