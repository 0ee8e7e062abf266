package framing

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// heads are heads of requests, and why they are refused.
var heads = []struct {
	head string
	why  error
}{
	{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", nil},
	{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n", nil},
	{"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", nil},
	{"GET / HTTP/1.0\r\nHost: a\r\n\r\n", nil},
	{"GET / HTTP/1.1\r\nHost: a\r\nX-Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", nil},
	{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", ErrLengthAndTransferEncoding},
	{"POST / HTTP/1.1\r\nHost: a\r\ntransfer-ENCODING: chunked\r\nCONTENT-length: 3\r\n\r\n", ErrLengthAndTransferEncoding},
	{"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", ErrTransferEncodingVersion},
	{"GET / HTTP/1.1\r\nHost: a\n\r\n", ErrBareLF},
	{"GET / HTTP/1.1\nHost: a\r\n\r\n", ErrBareLF},
	{"GET / HTTP/1.1\r\nHost: a\r\n\n", ErrBareLF},
	{"GET / HTTP/1.1\r\nHost: a\r\nX: b\rContent-Length: 3\r\n\r\n", ErrBareCR},
	{"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", ErrLineFolding},
	{"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n\tc\r\n\r\n", ErrLineFolding},
	{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\n", ErrSpaceBeforeColon},
}

func TestCheckRequest(t *testing.T) {
	for _, one := range heads {
		require.Equal(t, one.why, CheckRequest([]byte(one.head)), "%q", one.head)
	}
}

func TestCheckAnswer(t *testing.T) {
	for read, why := range map[string]error{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                                                         nil,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nContent-Length: 3\r\n":                                        nil,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n":                                             ErrLengthAndTransferEncoding,
		"HTTP/1.1 200 OK\ncontent-length: 2\ntransfer-encoding: chunked\n\n":                                                     ErrLengthAndTransferEncoding,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n":                ErrLengthAndTransferEncoding,
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0": nil,
		"": nil,
	} {
		require.Equal(t, why, CheckResponse([]byte(read)), "%q", read)
	}
}

func TestHeadLength(t *testing.T) {
	const interim, final = "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for read, want := range map[string]int{"": 0, interim: 0, final[:20]: 0, final: len(final), interim + final + "body\r\n\r\n": len(interim + final)} {
		length, whole := HeadLength([]byte(read))
		require.Equal(t, want, length, "%q", read)
		require.Equal(t, want > 0, whole, "%q", read)
	}
}

// strictly reads a head as RFC 9112 asks a strict recipient to: lines end with CRLF, none
// is continued, and one header at the most says where the body ends. It shares nothing with
// the code that is tested.
func strictly(head string) bool {
	lines := strings.Split(head, "\r\n")
	if len(lines) < 3 || lines[len(lines)-1] != "" || lines[len(lines)-2] != "" || strings.ContainsAny(strings.Join(lines, ""), "\r\n") {
		return false
	}
	framed := 0
	for _, line := range lines[1 : len(lines)-2] {
		name, _, found := strings.Cut(line, ":")
		if !found || name != strings.Trim(name, " \t") {
			return false
		}
		switch strings.ToLower(name) {
		case "transfer-encoding":
			if !strings.HasSuffix(lines[0], "HTTP/1.1") {
				return false
			}
			framed |= 1
		case "content-length":
			framed |= 2
		}
	}
	return framed < 3
}

// FuzzCheckRequest compares what is accepted with what a strict reading accepts: of the heads
// that net/http serves, none that is read strictly is refused, and none other is accepted.
func FuzzCheckRequest(f *testing.F) {
	for _, one := range heads {
		f.Add([]byte(one.head))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := bytes.NewReader(stream)
		buffered := bufio.NewReader(reader)
		if _, err := http.ReadRequest(buffered); err != nil {
			return
		}
		head := stream[:len(stream)-reader.Len()-buffered.Buffered()]
		if !bytes.HasSuffix(head, []byte("\n")) {
			return // net/http read on into the body
		}
		require.Equal(t, strictly(string(head)), CheckRequest(head) == nil, "%q", head)
	})
}
