// Package overload bounds what the connections and requests of callers occupy in one process, whatever they send.
//
// A Guard holds the memory that all requests together may occupy, and a Pool the connections of one listener. Memory is
// reserved before it is used. When it is short, the connection whose caller has been awaited for longest is closed, if that
// is at least a second; if there is none, the request that needs more is refused. Requests that fit into a small allowance
// need no reservation, and a part of the memory is kept for those that need little. When a Pool is full, the connection that
// is missed least is closed: one that waits for a request rather than one whose request is being served.
//
// The decisions are functions of the state and the time. Package pipelining applies them to connections and heads, package
// frontend to bodies.
package overload
