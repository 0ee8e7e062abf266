// Package pipelining works on the requests that a caller sends on one HTTP/1.1
// connection before the first of them is answered.
//
// net/http serves the requests of a connection one after the other, so that a caller
// that sends 16 at once waits for 16 back ends in turn. Here net/http still parses each
// request and writes each answer, in order. What is added is when work begins: while a
// request is being answered, the bytes behind it are read, and complete requests that
// may be repeated are handed to the handler at once. Their answers are kept, within
// bounds, until net/http comes to the request itself.
//
// A request is started early only if it and all those before it on its connection may
// be repeated and have no body. Whatever else the caller sent waits as it does with
// net/http alone. Nothing is started behind an answer that closes the connection. A
// caller that leaves ends all of its requests, also those whose turn has not come.
//
// Operators bound it with the settings under pipelining: requests of a connection,
// requests of the daemon, bytes of requests read ahead and bytes of an answer that
// waits for its turn.
package pipelining
