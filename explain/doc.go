// Package explain tells from the logs of many daemons how a request ended and why.
//
// A daemon writes a line for each decision that touches a request and for each change
// of what it believes. Read gathers the lines of any number of daemons in a Log; Explain
// finds those of one request, tells its story in order, and names a cause from them and
// from what daemons believed around that time. Summarize groups all failed requests by
// cause. Nothing but the logs is asked.
//
// Lines of one daemon are in order. Those of different daemons are compared by time of
// day, which may be off by seconds: only spans of seconds are drawn from that.
package explain
