// Package signals reads what back ends say of themselves with their answers, to requests and to probes alike,
// and hands each signal to the part that acts on it.
//
// Every answer passes through a Reader, so that a signal is either read here, or known to be for callers only, or
// logged and counted as one that nothing reads. What tells of load is read where the answer is used, as it goes
// into the decision that comes next; docs/back-end-signals.md lists all signals with who acts on them.
package signals
