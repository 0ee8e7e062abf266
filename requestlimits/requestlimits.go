// Package requestlimits decides whether a request keeps the operator's limits: the size of its head, the size of its body,
// the time in which its head arrives, and how long a connection may be idle.
//
// All decisions are pure: the bytes of a connection and the time are passed in. Package pipelining applies those on
// heads and connections, package frontend those on bodies.
package requestlimits

import (
	"net/http"
	"time"
)

// Limits are the limits in force. A limit of 0 is not declared; the defaults then apply.
type Limits struct {
	// HeadBytes is the size of the largest head of a request: from the first byte of the request line to the end of the
	// empty line that ends the head.
	HeadBytes int
	// BodyBytes is the size of the largest body, without the framing of chunks.
	BodyBytes int64
	// HeadTimeout is the time from the first byte of a head to its last.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

const (
	// DefaultHeadBytes limits heads if no limit is declared. It is what net/http allows with MaxHeaderBytes of 64 KiB,
	// to which it adds 4 KiB.
	DefaultHeadBytes = 64<<10 + 4<<10
	// DefaultHeadTimeout limits the time for a head if no limit is declared.
	DefaultHeadTimeout = 10 * time.Second
	// MaxHeadBytes is the largest limit on heads that may be declared. A head is held in memory.
	MaxHeadBytes = 1 << 20
)

// EffectiveHeadBytes returns the size of the largest head that is served.
func (l Limits) EffectiveHeadBytes() int {
	if l.HeadBytes > 0 {
		return l.HeadBytes
	}
	return DefaultHeadBytes
}

// EffectiveHeadTimeout returns the time from the first byte of a head to its last.
func (l Limits) EffectiveHeadTimeout() time.Duration {
	if l.HeadTimeout > 0 {
		return l.HeadTimeout
	}
	return DefaultHeadTimeout
}

// HeadFits reports whether a head of this size may be served.
func (l Limits) HeadFits(size int) bool {
	return size <= l.EffectiveHeadBytes()
}

// BodyFits reports whether a body of this size may be served; a negative size is not known yet and fits.
func (l Limits) BodyFits(size int64) bool {
	return l.BodyBytes == 0 || size <= l.BodyBytes
}

// HeadSize returns the size of a request's head as HTTP/1.1 transfers it without optional white space. It is never
// larger than what an HTTP/1.1 caller has sent, and is the measure for requests over HTTP/2.
func HeadSize(r *http.Request) int {
	const space, line = len(" "), len("\r\n")
	size := len(r.Method) + space + len(r.RequestURI) + space + len("HTTP/1.1") + line
	if r.Host != "" {
		size += len("Host: ") + len(r.Host) + line
	}
	for name, values := range r.Header {
		for _, value := range values {
			// The colon is counted, the space behind it may be missing.
			size += len(name) + len(":") + len(value) + line
		}
	}
	return size + line
}

// Verdict is what happens to a connection.
type Verdict int

// The verdicts on a connection.
const (
	// Wait: the connection is kept.
	Wait Verdict = iota
	// HeadTooLarge: the head is larger than the limit (431).
	HeadTooLarge
	// HeadTooSlow: the head has not arrived in time (408).
	HeadTooSlow
	// Close: the connection is closed without an answer.
	Close
	// Overloaded: there is no memory or processor time for the request (503).
	Overloaded
)
