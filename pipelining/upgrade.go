package pipelining

import (
	"bufio"
	"net"
	"net/http"
)

// upgradeWriter records whether the handler of a request for another protocol took the connection over.
type upgradeWriter struct {
	http.ResponseWriter
	// closes tells that the connection is closed after the response. Where a body ends is not followed, so that the limits
	// could not be applied to a request behind it.
	closes   bool
	hijacked bool
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (u *upgradeWriter) Unwrap() http.ResponseWriter {
	return u.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (u *upgradeWriter) WriteHeader(status int) {
	if u.closes && status >= http.StatusOK {
		u.Header().Set("Connection", "close")
	}
	u.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (u *upgradeWriter) Write(data []byte) (int, error) {
	if u.closes {
		u.Header().Set("Connection", "close")
	}
	return u.ResponseWriter.Write(data)
}

// Hijack implements http.Hijacker.
func (u *upgradeWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffered, err := http.NewResponseController(u.ResponseWriter).Hijack()
	u.hijacked = err == nil
	return conn, buffered, err
}

// resumeUnlessUpgraded is called when the handler of a request for another protocol has returned. If the connection goes on
// with HTTP/1.1, limits apply to it again: a caller could otherwise evade them by asking for a protocol that there is
// not. After a request with a body, the connection is closed.
func (c *conn) resumeUnlessUpgraded(upgrading *upgradeWriter) {
	if upgrading.hijacked {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if upgrading.closes {
		c.ended = true
		return
	}
	c.passThrough = false
}
