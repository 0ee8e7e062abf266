package pipelining

// frameMeter estimates what the frames of an HTTP/2 connection cost, from the bytes that the server reads. The zero value is
// positioned at the beginning of a connection.
type frameMeter struct {
	preface int // bytes of the preface that were read
	header  [frameHeaderLength]byte
	length  int // of the header that was read
	left    int // bytes of the payload that are still to come
	// requests and resets are the numbers of requests and of those that the caller has given up.
	requests, resets int
}

const (
	prefaceLength     = len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	frameHeaderLength = 9

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
	case frameHeaders:
		m.requests++
		return requestCost + length/headerBytesPerCost
	case frameReset:
		m.resets++
	case frameContinuation:
		return frameCost + length/headerBytesPerCost
	}
	return frameCost
}

// maxResets is the number of resets up to which a caller may have given up most of its requests.
const maxResets = 4

// givesUpMost reports whether the caller gives up most of its requests.
func (m *frameMeter) givesUpMost() bool {
	return m.resets > maxResets && 2*m.resets > m.requests
}
