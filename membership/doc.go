// Package membership keeps one daemon's view of which daemons are alive.
//
// It is the SWIM protocol's state (Das, Gupta, Motivala: SWIM, DSN 2002): each
// period a daemon exchanges news with one other, chosen by going through a
// shuffled list; a daemon that does not answer, directly or through others, is
// suspected, can refute that with a higher incarnation, and is declared dead
// after the suspicion timeout. News spreads with the exchanges, each item a
// bounded number of times, so that the bytes a daemon sends in a second do not
// grow with the fleet. Dead members are tried again now and then, which heals
// partitions without the platform.
//
// Nothing here must be unique: two daemons with different views both go on
// serving. What must be agreed goes through the platform's store.
//
// The package is pure and not safe for concurrent use; package peer sends and
// receives.
package membership
