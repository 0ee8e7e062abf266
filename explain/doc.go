// Package explain determines from the logs of many daemons how a request ended and why.
//
// A daemon logs each decision about a request and each change of the state that it bases
// decisions on. Read collects the lines of any number of daemons in a Log. Explain finds the
// lines of one request, orders them, and determines a cause from them and from the state
// that daemons logged around that time. Summarize groups all failed requests by cause. Logs
// are the only input.
//
// Lines of one daemon are in order. Lines of different daemons are compared by their time,
// and clocks may differ by seconds: only intervals of seconds are derived from that.
package explain
