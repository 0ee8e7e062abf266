package pipelining

// buffer holds bytes that were read from a connection and not passed on yet. The zero value is empty.
type buffer struct {
	data  []byte
	start int // of the bytes in data
}

func (b *buffer) bytes() []byte {
	return b.data[b.start:]
}

func (b *buffer) size() int {
	return len(b.data) - b.start
}

func (b *buffer) append(data []byte) {
	b.data = append(b.data, data...)
}

// space returns the free space behind the bytes, and extend adds the bytes that were read into it.
func (b *buffer) space() []byte {
	return b.data[len(b.data):cap(b.data)]
}

func (b *buffer) extend(length int) {
	b.data = b.data[:len(b.data)+length]
}

// advance removes bytes at the front.
func (b *buffer) advance(length int) {
	b.start += length
	if b.start == len(b.data) {
		b.data, b.start = b.data[:0], 0
	}
}

// grow moves the bytes to a buffer with this capacity.
func (b *buffer) grow(capacity int) {
	data := make([]byte, b.size(), capacity)
	copy(data, b.bytes())
	b.data, b.start = data, 0
}
