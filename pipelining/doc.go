// Package pipelining processes pipelined requests of an HTTP/1.1 connection concurrently.
//
// net/http serves the requests of a connection one after the other, so that a caller
// that sends 16 at once waits for 16 back ends in turn. With this package, net/http still
// parses each request and writes the responses in order, but work begins earlier: while a
// request is being served, the bytes behind it are read ahead, and complete requests that
// may be repeated are passed to the handler at once. Their responses are buffered, within
// limits, until net/http comes to the request itself.
//
// A request is started early only if it and all requests before it on its connection may
// be repeated and have no body. All others wait as they do with net/http alone. No request
// is started behind one whose response closes the connection. When a caller closes the
// connection, all of its requests are canceled, including those that were started early.
//
// Operators limit it with the settings under pipelining: requests of a connection,
// requests of the daemon, bytes of requests read ahead, and bytes of a response that is
// buffered.
package pipelining
