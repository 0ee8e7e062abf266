// Package drain keeps which back ends are leaving, and from which source.
//
// A back end that is going to end says so with its answers, or the machine list says so of its machine.
// The daemon that hears it sends it nothing new from that moment on, tells the daemon that gives out the
// places of the service at once, and all others within a second or two.
//
// A signal holds for one run of a back end, by the time at which that run started, and until the same source
// takes it back: whatever a directory lists, and whether it lists the back end at all. An answer without the
// signal takes nothing back, nor does one whose request was sent before the signal was heard. A run that started
// later has said nothing.
//
// Table is the pure part: time is passed in. Keeper is a daemon's table, safe for concurrent use.
package drain
