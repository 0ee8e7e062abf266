// Package membership keeps one daemon's view of which daemons are alive.
//
// It implements the state of the SWIM protocol (Das, Gupta, Motivala: SWIM, DSN
// 2002): each period a daemon exchanges updates with one other, chosen in the
// order of a shuffled list. A daemon that does not answer, directly or through
// others, is suspected; it can refute that with a higher incarnation, and is
// declared dead after the suspicion timeout otherwise. Updates spread with the
// exchanges, each a limited number of times, so that the bytes per second that a
// daemon sends do not grow with the fleet. Dead members are contacted from time
// to time, so that partitions heal without the platform.
//
// Views need not agree: two daemons with different views both continue to serve.
// What must be agreed on goes through the platform's store.
//
// The package does no I/O and is not safe for concurrent use; package peer sends
// and receives.
package membership
