package requestlimits

import "bytes"

// bodyScanner finds the end of a request's body in a stream that is read in pieces. It follows the framing only as far
// as that takes: net/http, which rejects what is not valid, closes the connection then.
type bodyScanner struct {
	chunked bool
	left    int64 // bytes of the body, or of a chunk with the end of its line, that are still to come
	state   chunkState
	empty   bool // the trailer line consists of nothing but a carriage return so far
}

// chunkState is a position in a chunked body.
type chunkState int

const (
	chunkSize chunkState = iota // digits of a chunk's size
	chunkLine                   // the rest of the line with the size
	chunkData
	chunkTrailer // lines after the last chunk
	chunkEnd
)

func newBodyScanner(contentLength int64) bodyScanner {
	if contentLength < 0 {
		return bodyScanner{chunked: true}
	}
	return bodyScanner{left: contentLength}
}

// done reports whether the body has ended.
func (s *bodyScanner) done() bool {
	if s.chunked {
		return s.state == chunkEnd
	}
	return s.left == 0
}

// skip returns how many bytes of data belong to the body.
func (s *bodyScanner) skip(data []byte) int {
	if !s.chunked {
		return s.skipLeft(data)
	}
	skipped := 0
	for skipped < len(data) && s.state != chunkEnd {
		skipped += s.step(data[skipped:])
	}
	return skipped
}

func (s *bodyScanner) skipLeft(data []byte) int {
	skipped := min(s.left, int64(len(data)))
	s.left -= skipped
	return int(skipped)
}

// chunkLineEnd is the size of the end of the line behind a chunk's data.
const chunkLineEnd = int64(len("\r\n"))

// maxChunkSize keeps the size of a chunk, which a caller states, from overflowing.
const maxChunkSize = 1 << 58

// step consumes a part of data, which is not empty, and returns its length.
func (s *bodyScanner) step(data []byte) int {
	switch s.state {
	case chunkSize:
		if digit, ok := hexDigit(data[0]); ok {
			s.left = min(s.left<<4|digit, maxChunkSize)
			return 1
		}
		s.state = chunkLine
		return 0
	case chunkLine:
		length := bytes.IndexByte(data, '\n')
		if length < 0 {
			return len(data)
		}
		if s.left == 0 {
			s.state, s.empty = chunkTrailer, true
		} else {
			s.state, s.left = chunkData, s.left+chunkLineEnd
		}
		return length + 1
	case chunkData:
		skipped := s.skipLeft(data)
		if s.left == 0 {
			s.state = chunkSize
		}
		return skipped
	}
	switch {
	case data[0] == '\n' && s.empty:
		s.state = chunkEnd
	case data[0] == '\n':
		s.empty = true
	case data[0] != '\r':
		s.empty = false
	}
	return 1
}

func hexDigit(char byte) (int64, bool) {
	switch {
	case char >= '0' && char <= '9':
		return int64(char - '0'), true
	case char >= 'a' && char <= 'f':
		return int64(char-'a') + 10, true
	case char >= 'A' && char <= 'F':
		return int64(char-'A') + 10, true
	}
	return 0, false
}
