// Package signals reads the signals that back ends send about themselves with their responses, to requests and to
// probes alike, and passes each signal to the package that acts on it.
//
// Every response passes through a Reader, so that each signal is either read here, known to be for callers only, or
// logged and counted as unread. Load reports are read where the response is used, because they enter the next routing
// decision; docs/back-end-signals.md lists all signals and what acts on them.
package signals
