package pipelining

import (
	"bytes"
	"net/http"

	"github.com/tuliphall/tuliphall/framing"
)

// maxHead is how much is kept of what net/http was given, which holds the head of the next
// request: net/http's bound on heads of 64 KiB, and what it reads beyond.
const maxHead = 72 << 10

// head is what net/http was given last. It ends with the head of the request that net/http
// comes to next, as no read goes on behind one, and may begin with the body before it.
type head []byte

// keep takes in what net/http is given, where heads are checked.
func (c *conn) keep(piece []byte) {
	if !c.server.strict() || c.plain {
		return
	}
	if excess := len(c.head) + len(piece) - maxHead; excess > 0 {
		c.head = c.head[:copy(c.head, c.head[min(excess, len(c.head)):])]
		piece = piece[max(len(piece)-maxHead, 0):]
	}
	c.head = append(c.head, piece...)
}

// malformed says why the head of the request that net/http has come to must not be served;
// nil: it may be.
func (c *conn) malformed(r *http.Request) error {
	if !c.server.strict() {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	defer func() { c.head = c.head[:0] }()
	return framing.CheckRequest(c.head.of(r))
}

// of returns the head of a request: from its first line, which is the last that reads so.
// All that was kept is returned where none does, which happens when net/http has skipped
// something, and is checked as it is.
func (h head) of(r *http.Request) []byte {
	first := []byte(r.Method + " " + r.RequestURI + " " + r.Proto)
	for before := len(h); ; {
		at := bytes.LastIndex(h[:before], first)
		switch {
		case at < 0:
			return h
		case at == 0 || h[at-1] == '\n':
			return h[at:]
		}
		before = at
	}
}

// strict says whether heads are checked.
func (s *Server) strict() bool {
	return s.options.Refuse != nil
}
