package pipelining

import (
	"bytes"
	"net/http"

	"github.com/tuliphall/tuliphall/framing"
)

// maxRecorded is the number of recorded bytes that hold the head of the next request if no larger limit on heads is
// declared: net/http's limit of 64 KiB for heads, and what it reads beyond.
const maxRecorded = 72 << 10

// headRecorder records the head of the request that net/http comes to next, from the bytes
// that net/http reads: no read continues past the end of a head. The zero value is positioned
// at the beginning of a connection.
type headRecorder struct {
	recorded []byte
	bodyLeft int64 // bytes of the previous request's body that are still to be read
	// afterChunked: the previous request has a chunked body, which ends with an empty line;
	// the head begins after that line.
	afterChunked bool
}

// record records bytes that net/http reads, of which maxRecorded are kept.
func (h *headRecorder) record(data []byte, maxRecorded int) {
	skipped := min(h.bodyLeft, int64(len(data)))
	h.bodyLeft -= skipped
	data = data[skipped:]
	if excess := len(h.recorded) + len(data) - maxRecorded; excess > 0 {
		h.recorded = h.recorded[:copy(h.recorded, h.recorded[min(excess, len(h.recorded)):])]
		data = data[max(len(data)-maxRecorded, 0):]
	}
	h.recorded = append(h.recorded, data...)
}

// take returns the head of r, the request that net/http has come to, and begins to record the
// next one. The result is valid until the next call of record.
func (h *headRecorder) take(r *http.Request) []byte {
	head := h.recorded
	if h.afterChunked {
		head = head[afterLastEmptyLine(head):]
	}
	*h = headRecorder{recorded: h.recorded[:0], bodyLeft: max(r.ContentLength, 0), afterChunked: r.ContentLength < 0}
	if cap(h.recorded) > maxKeptRecorded {
		h.recorded = nil
	}
	return head
}

// maxKeptRecorded is the capacity of the largest buffer that is kept for the next head.
const maxKeptRecorded = 4 << 10

// skipBody notes that the body of the request that net/http has come to is not recorded.
func (h *headRecorder) skipBody() {
	h.bodyLeft, h.afterChunked = 0, false
}

// current returns what was recorded of the head of the request that net/http comes to next. The result is valid until the
// next call of record.
func (h *headRecorder) current() []byte {
	if h.afterChunked {
		return h.recorded[afterLastEmptyLine(h.recorded):]
	}
	return h.recorded
}

// afterLastEmptyLine returns the offset after the last empty line, apart from the one at the
// end of data; 0: there is none.
func afterLastEmptyLine(data []byte) int {
	for end := len(bytes.TrimRight(data, "\r\n")); ; {
		line := bytes.LastIndexByte(data[:end], '\n')
		if line < 0 {
			return 0
		}
		if before := bytes.TrimSuffix(data[:line], []byte{'\r'}); bytes.HasSuffix(before, []byte{'\n'}) {
			return line + 1
		}
		end = line
	}
}

// recordHead records bytes that net/http reads, if heads are checked.
func (c *conn) recordHead(data []byte) {
	if c.server.checksHeads() && !c.passThrough && (!c.followsBodies() || c.limited.tracker.AtHead()) {
		c.head.record(data, max(maxRecorded, c.server.Limits().HeadBytes))
	}
}

// checkHead returns why the request that net/http has come to must be refused because of its
// head; nil: it may be served.
func (c *conn) checkHead(r *http.Request) error {
	if !c.server.checksHeads() {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	head := c.head.take(r)
	if c.followsBodies() {
		c.head.skipBody()
	}
	return framing.CheckRequest(head)
}

// followsBodies reports whether it is known where the bodies of requests end.
func (c *conn) followsBodies() bool {
	return c.server.limitsHeads()
}

func (s *Server) checksHeads() bool {
	return s.options.Refuse != nil
}
