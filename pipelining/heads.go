package pipelining

import (
	"bytes"
	"context"
	"time"

	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/requestlimits"
)

// headGate follows the head that net/http reads. A head is passed on as it arrives up to the allowances of package overload.
// The rest is held back until all of it has arrived and there is memory for the request: parsed, a head of many short
// fields occupies many times its size.
type headGate struct {
	bytes, lines int // passed on
	admitted     bool
	// scanner looks for the end of the head in the bytes that are held back, of which it has scanned this many.
	scanner   headScanner
	scanned   int
	gathering bool
	// cancel ends the wait for memory; nil: there is none.
	cancel context.CancelFunc
}

// allowed returns how many bytes of data, which belong to the head or to what follows it, are passed on.
func (g *headGate) allowed(data []byte) int {
	if g.admitted {
		return len(data)
	}
	length := min(len(data), overload.HeadAllowance-g.bytes)
	lines, end := g.lines, 0
	for lines < overload.HeadLineAllowance {
		line := bytes.IndexByte(data[end:length], '\n')
		if line < 0 {
			return length
		}
		lines++
		end += line + 1
	}
	return end
}

// pass counts bytes that are passed on; endsHead tells that they end with the head.
func (g *headGate) pass(data []byte, endsHead bool) {
	if endsHead {
		*g = headGate{}
		return
	}
	g.bytes += len(data)
	if !g.admitted {
		g.lines += bytes.Count(data, []byte{'\n'})
	}
}

// end returns the length of the bytes that are held back up to the end of the head, or -1. position is that of the scanner
// behind the bytes that were passed on.
func (g *headGate) end(heldBack []byte, position headScanner) int {
	if !g.gathering {
		g.scanner, g.scanned, g.gathering = position, 0, true
	}
	end := g.scanner.end(heldBack[g.scanned:])
	if end < 0 {
		g.scanned = len(heldBack)
		return -1
	}
	return g.scanned + end
}

// gatesHead reports whether the next bytes belong to a head that is held back until it is complete.
func (c *conn) gatesHead() bool {
	return c.server.limitsHeads() && !c.passThrough && c.limited.tracker.AtHead()
}

// pass returns how many of the bytes that follow on the connection net/http gets now, which is up to the end of a body or of
// a head at most.
func (c *conn) pass(data []byte) int {
	end := c.untilBodyEnd(data)
	gated := c.gatesHead()
	if gated {
		end = c.gate.allowed(data[:end])
	}
	headEnd := c.scanner.end(data[:end])
	c.afterHead = headEnd >= 0
	if c.afterHead {
		end = headEnd
	}
	if gated {
		c.gate.pass(data[:end], c.afterHead)
		if !c.afterHead {
			c.tracked.SetPhase(overload.Head)
		}
	}
	c.recordHead(data[:end])
	c.countTaken(data[:end])
	return end
}

// gatherHead reads until the whole head has arrived, and waits until there is memory for its request. The mutex must be
// held; it is released while gatherHead blocks.
func (c *conn) gatherHead() error {
	for {
		heldBack := c.readAhead.bytes()
		end := c.gate.end(heldBack, c.scanner)
		length := len(heldBack)
		if end >= 0 {
			length = end
		}
		if !c.headLimits().HeadFits(c.gate.bytes + length) {
			return c.refuse(requestlimits.HeadTooLarge)
		}
		if end >= 0 {
			return c.admitHead(heldBack[:end])
		}
		if !c.growReadAhead() {
			return c.refuse(requestlimits.Overloaded)
		}
		n, err := c.readWithinLimits(c.readAhead.space())
		c.readAhead.extend(n)
		if n == 0 && err != nil {
			return err
		}
	}
}

// headAdmissionTimeout is how long a request with a large head waits for memory.
const headAdmissionTimeout = time.Second

// admitHead waits until there is memory for the request whose head is complete. The mutex must be held; it is released while
// admitHead blocks.
func (c *conn) admitHead(heldBack []byte) error {
	size, lines := c.gate.bytes+len(heldBack), c.gate.lines+bytes.Count(heldBack, []byte{'\n'})
	c.tracked.ReleaseHead()
	admitted := overload.IsSmallHead(size, lines)
	if !admitted {
		ctx, cancel := context.WithTimeout(context.Background(), headAdmissionTimeout)
		defer cancel()
		c.gate.cancel = cancel
		c.mutex.Unlock()
		admitted = c.tracked.AdmitHead(ctx, size, lines)
		c.mutex.Lock()
		c.gate.cancel = nil
	}
	if !admitted {
		return c.refuse(requestlimits.Overloaded)
	}
	c.gate.admitted = true
	return nil
}

// minReadAhead is the capacity of a buffer that needs no reservation.
const minReadAhead = overload.HeadAllowance

// growReadAhead provides space for a read, if the memory for it can be reserved.
func (c *conn) growReadAhead() bool {
	if len(c.readAhead.space()) >= readSize {
		return true
	}
	capacity := minReadAhead
	for capacity < c.readAhead.size()+readSize {
		capacity *= 2
	}
	if !c.reserveReadAhead(capacity) {
		return false
	}
	c.readAhead.grow(capacity)
	return true
}

// reserveReadAhead changes the reservation to that for a buffer of a capacity, and reports whether it could.
func (c *conn) reserveReadAhead(capacity int) bool {
	wanted := int64(max(capacity-minReadAhead, 0))
	if !c.tracked.Reserve(wanted - c.readAheadReserved) {
		return false
	}
	c.tracked.Release(c.readAheadReserved - wanted)
	c.readAheadReserved = wanted
	return true
}

// advance removes bytes that net/http has got from the buffer, and releases a large buffer that is empty.
func (c *conn) advance(length int) {
	c.readAhead.advance(length)
	if c.readAhead.size() == 0 && cap(c.readAhead.data) > minReadAhead {
		c.readAhead = buffer{}
		c.reserveReadAhead(0)
	}
}
