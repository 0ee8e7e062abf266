// Package requestbody passes the body of a request on to a back end, also while the response is already on its way to
// the caller.
//
// A back end may respond before it has read the whole body. The transport then goes on reading the body for it. net/http's
// server reads the same body, to discard it, when the response begins or the handler returns. Each would get what the
// other leaves. A Body therefore has one reader at a time: net/http's server is told not to read while a response is
// written (full duplex), and the transport's reader is ended, and has returned, before the handler does.
//
// A body that is ended early is never passed on as a whole one: its reader gets an error instead of io.EOF. A connection
// on which a response begins before the whole body has been received is closed after that response, so that the rest of
// the body is not read as the next request.
package requestbody
