package pipelining

import (
	"encoding/binary"

	"github.com/tuliphall/tuliphall/overload"
)

// frameMeter estimates what the frames of an HTTP/2 connection cost, from the bytes that the server reads. The zero value is
// positioned at the beginning of a connection.
type frameMeter struct {
	preface int // bytes of the preface that were read
	header  [frameHeaderLength]byte
	length  int // of the header that was read
	left    int // bytes of the payload that are still to come
	fields  int // cost of the fields of the head that is being read
	// requests and resets are the numbers of requests and of those that the caller has given up, ended that of those that have
	// been served, and lastStream is the stream of the newest one.
	requests, resets, ended int
	lastStream              uint32
	// bodies is what has arrived of bodies and was not read, and large tells that the requests in progress need more than the
	// allowances.
	bodies int
	large  bool
}

const (
	prefaceLength     = len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	frameHeaderLength = 9

	frameData         = 0x0
	frameHeaders      = 0x1
	frameReset        = 0x3
	frameContinuation = 0x9
)

// Costs of frames. One is about the processor time of a frame without effect, some 20 microseconds.
const (
	frameCost   = 1
	requestCost = 8
	// headerBytesPerCost is the size of the part of a head that costs as much as a frame: each byte may be a field.
	headerBytesPerCost = 16
	// maxFieldsCost is what the fields of a head cost at most: those beyond the limit on heads are skipped.
	maxFieldsCost = 128
	// skippedBytesPerCost is the size of the part of a head that costs as much as a frame if it is skipped.
	skippedBytesPerCost = 1 << 10
)

// count returns the cost of the frames whose headers end in data, which follows what was counted before.
func (m *frameMeter) count(data []byte) int {
	skipped := min(prefaceLength-m.preface, len(data))
	m.preface += skipped
	data = data[skipped:]
	cost := 0
	for len(data) > 0 {
		if m.left > 0 {
			skipped := min(m.left, len(data))
			m.left -= skipped
			data = data[skipped:]
			continue
		}
		read := copy(m.header[m.length:], data)
		m.length += read
		data = data[read:]
		if m.length == frameHeaderLength {
			m.length, m.left = 0, int(m.header[0])<<16|int(m.header[1])<<8|int(m.header[2])
			cost += m.begin(m.header[3], m.left)
		}
	}
	return cost
}

// begin counts a frame of a kind with a payload of this length, and returns its cost.
func (m *frameMeter) begin(kind byte, length int) int {
	switch kind {
	case frameData:
		m.bodies += length
		m.large = m.large || m.bodies > overload.BodyAllowance*min(m.inProgress(), maxSmallBodies)
	case frameHeaders:
		// Trailers come on the stream of their request.
		if stream := binary.BigEndian.Uint32(m.header[5:]) &^ (1 << 31); stream > m.lastStream {
			m.lastStream = stream
			m.requests++
		}
		m.large = m.large || length > headBlockAllowance
		m.fields = 0
		return requestCost + m.countFields(length)
	case frameReset:
		m.resets++
	case frameContinuation:
		m.large = true
		return frameCost + m.countFields(length)
	}
	return frameCost
}

// countFields counts a part of a head of this length, and returns its cost.
func (m *frameMeter) countFields(length int) int {
	cost := min(length/headerBytesPerCost, maxFieldsCost-m.fields)
	m.fields += cost
	return cost + length/skippedBytesPerCost
}

const (
	// headBlockAllowance is the size of a compressed head that needs no reservation while it is decompressed.
	headBlockAllowance = 1 << 10
	// maxSmallBodies is the number of requests in progress with a small body each that need no reservation for what arrives.
	maxSmallBodies = 16
)

// inProgress returns the number of requests that have not been served yet.
func (m *frameMeter) inProgress() int {
	return m.requests - m.ended
}

// endRequest notes that a request has been served, and reports whether it was the last one in progress.
func (m *frameMeter) endRequest() (last bool) {
	m.ended++
	if m.inProgress() > 0 {
		return false
	}
	m.bodies, m.large = 0, false
	return true
}

const (
	// fewRequests is the number of requests in progress above which the frames of a connection have a lower weight, by their number.
	fewRequests = 16
	// largeWeight is the weight of frames while requests in progress need more than the allowances.
	largeWeight = 0.25
)

// weight returns the weight of the connection where frames wait.
func (m *frameMeter) weight() float64 {
	weight := 1.0
	if m.large {
		weight = largeWeight
	}
	return weight * min(fewRequests/float64(m.inProgress()), 1)
}

// maxResets is the number of resets up to which a caller may have given up most of its requests.
const maxResets = 4

// givesUpMost reports whether the caller gives up most of its requests.
func (m *frameMeter) givesUpMost() bool {
	return m.resets > maxResets && 2*m.resets > m.requests
}
