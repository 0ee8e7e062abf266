package frontend

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/requestbody"
	"github.com/tuliphall/tuliphall/resultcode"
)

const (
	// maxHeldBody bounds the part of a body of unknown length that is held until the body is known not to be too large.
	maxHeldBody = 1 << 20
	// minHeldBody is the memory with which holding a body of unknown length begins; it is doubled as the body grows.
	minHeldBody = 4 << 10
)

// heldBody is a body, or the beginning of one, in memory. It grows as the body arrives.
type heldBody struct {
	handler    *Handler
	connection *overload.Connection
	data       []byte
	reserved   int64
}

// errNoMemory is the error of holding a body for which no memory can be reserved.
var errNoMemory = errors.New("no memory")

// read holds up to limit bytes of a body. It returns nil if there may be more of it, and io.EOF at its end.
func (b *heldBody) read(body io.Reader, limit int64) error {
	for int64(len(b.data)) < limit {
		if len(b.data) == cap(b.data) {
			if !b.grow(min(max(2*int64(cap(b.data)), minHeldBody), limit)) {
				return errNoMemory
			}
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// grow moves the body to a buffer with this capacity, if memory for it can be reserved.
func (b *heldBody) grow(capacity int64) bool {
	wanted := max(capacity-overload.BodyAllowance, 0)
	if !b.connection.Reserve(wanted - b.reserved) {
		return false
	}
	b.handler.metrics.bodiesHeld.Update(float64(b.handler.heldBytes.Add(capacity - int64(cap(b.data)))))
	b.reserved = wanted
	data := make([]byte, len(b.data), capacity)
	copy(data, b.data)
	b.data = data
	return true
}

// release releases the memory. The body is not used any more.
func (b *heldBody) release() {
	b.connection.Release(b.reserved)
	if cap(b.data) > 0 {
		b.handler.metrics.bodiesHeld.Update(float64(b.handler.heldBytes.Add(-int64(cap(b.data)))))
	}
}

// holdBody reads a body into memory before the request is sent: a short one of known length, so that it can be sent again,
// and the beginning of one of unknown length that may exceed the limit. It blocks until the deadline at most. What it returns
// must be released.
func (h *Handler) holdBody(w http.ResponseWriter, c *call) (*heldBody, *resultcode.Failure) {
	length := c.request.ContentLength
	held := &heldBody{handler: h, connection: overload.FromContext(c.request.Context())}
	switch {
	case length == 0:
		c.buffered = true
	case length > 0 && length <= maxBufferedBytes && !c.upgrade:
		return held, h.holdWholeBody(w, c, held)
	case length < 0 && h.requestLimits().BodyBytes > 0 && !c.forwarded:
		return held, h.holdBeginning(w, c, held)
	}
	return held, nil
}

func (h *Handler) holdWholeBody(w http.ResponseWriter, c *call, held *heldBody) *resultcode.Failure {
	length := c.request.ContentLength
	err := c.readUntilDeadline(w, held.connection, func() error { return held.read(c.request.Body, length) })
	if err == io.EOF && int64(len(held.data)) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && err != io.EOF {
		return bodyFailure(err)
	}
	c.body, c.buffered = held.data, true
	return nil
}

func (h *Handler) holdBeginning(w http.ResponseWriter, c *call, held *heldBody) *resultcode.Failure {
	limits, body := h.requestLimits(), requestbody.FromCaller(c.request.Body)
	// One byte more than allowed distinguishes a body at the limit from a larger one.
	wanted := min(limits.BodyBytes, maxHeldBody) + 1
	err := c.readUntilDeadline(w, held.connection, func() error { return held.read(body, wanted) })
	if err != nil && err != io.EOF {
		return bodyFailure(err)
	}
	if !limits.BodyFits(int64(len(held.data))) {
		return bodyTooLarge(limits, "body without a declared length")
	}
	c.limitedBody = &limitedBody{held: bytes.NewReader(held.data), rest: body, left: limits.BodyBytes - int64(len(held.data))}
	c.held = held.data
	return nil
}

// readUntilDeadline calls read, which reads from the caller's connection, and aborts it at the deadline. The connection
// cannot be used for another request if the deadline has passed.
func (c *call) readUntilDeadline(w http.ResponseWriter, connection *overload.Connection, read func() error) error {
	connection.SetPhase(overload.Receiving)
	defer connection.SetPhase(overload.Serving)
	control := http.NewResponseController(w)
	// Errors mean that the connection is broken, which reading reports.
	_ = control.SetReadDeadline(c.deadline)
	err := read()
	_ = control.SetReadDeadline(time.Time{})
	if (err == nil || err == io.EOF) && !time.Now().Before(c.deadline) {
		return os.ErrDeadlineExceeded
	}
	return err
}

// bodyFailure returns the failure of a request whose body could not be read.
func bodyFailure(err error) *resultcode.Failure {
	if err == errNoMemory {
		return overloaded("no memory for the request's body")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &resultcode.Failure{Code: resultcode.DeadlineTooShort, Detail: "the request's body did not arrive before the deadline"}
	}
	return &resultcode.Failure{Code: resultcode.BadRequest, Detail: "the request's body ended early: " + err.Error()}
}
