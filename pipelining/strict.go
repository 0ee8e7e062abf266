package pipelining

import (
	"bytes"
	"net/http"

	"github.com/tuliphall/tuliphall/framing"
)

// maxHead is how much is kept of what net/http was given, which holds the head of the next
// request: net/http's bound on heads of 64 KiB, and what it reads beyond.
const maxHead = 72 << 10

// head keeps the head of the request that net/http comes to next, as net/http is given it: no
// read goes on behind the end of a head. The zero value stands at the beginning of a
// connection.
type head struct {
	kept []byte
	body int64 // bytes that are still to come of the body of the request before
	// chunked: the request before has a body that ends with an empty line, and the head
	// begins behind that.
	chunked bool
}

// add takes in what net/http is given.
func (h *head) add(piece []byte) {
	skipped := min(h.body, int64(len(piece)))
	h.body -= skipped
	piece = piece[skipped:]
	if excess := len(h.kept) + len(piece) - maxHead; excess > 0 {
		h.kept = h.kept[:copy(h.kept, h.kept[min(excess, len(h.kept)):])]
		piece = piece[max(len(piece)-maxHead, 0):]
	}
	h.kept = append(h.kept, piece...)
}

// take returns the head of the request that net/http has come to, and begins with the next
// one. The result is valid until the next call of add.
func (h *head) take(r *http.Request) []byte {
	kept := h.kept
	if h.chunked {
		kept = kept[behindEmptyLine(kept):]
	}
	*h = head{kept: h.kept[:0], body: max(r.ContentLength, 0), chunked: r.ContentLength < 0}
	return kept
}

// behindEmptyLine returns where the last empty line ends, but for that at the end; 0 where
// there is none.
func behindEmptyLine(kept []byte) int {
	for end := len(bytes.TrimRight(kept, "\r\n")); ; {
		line := bytes.LastIndexByte(kept[:end], '\n')
		if line < 0 {
			return 0
		}
		if before := bytes.TrimSuffix(kept[:line], []byte{'\r'}); bytes.HasSuffix(before, []byte{'\n'}) {
			return line + 1
		}
		end = line
	}
}

// keep takes in what net/http is given, where heads are checked.
func (c *conn) keep(piece []byte) {
	if c.server.strict() && !c.plain {
		c.head.add(piece)
	}
}

// malformed says why the head of the request that net/http has come to must not be served;
// nil: it may be.
func (c *conn) malformed(r *http.Request) error {
	if !c.server.strict() {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return framing.CheckRequest(c.head.take(r))
}

// strict says whether heads are checked.
func (s *Server) strict() bool {
	return s.options.Refuse != nil
}
