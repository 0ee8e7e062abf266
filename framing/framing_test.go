package framing

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http/httpguts"
)

// heads are request heads and the errors for which they are rejected.
var heads = []struct {
	head string
	want error
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
	for _, test := range heads {
		require.Equal(t, test.want, CheckRequest([]byte(test.head)), "%q", test.head)
	}
}

// responses are beginnings of responses and the errors for which they are rejected.
var responses = []struct {
	data string
	want error
}{
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nContent-Length: 3\r\n", nil},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n", ErrLengthAndTransferEncoding},
	{"HTTP/1.1 200 OK\ncontent-length: 2\ntransfer-encoding: chunked\n\n", ErrLengthAndTransferEncoding},
	{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n", ErrLengthAndTransferEncoding},
	{"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0", nil},
	{"HTTP/1.1  103 Early Hints\r\n\r\nHTTP/1.1 000 \r\n\r\n", ErrStatus},
	{"HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\nbytes of the other protocol\r\n\r\n", nil},
	{"HTTP/1.1 200\r\n\r\n", nil},
	{"HTTP/1.1 999 Other\r\n\r\n", nil},
	{"HTTP/1.1 000 \r\n\r\n", ErrStatus},
	{"HTTP/1.1 099 \r\n\r\n", ErrStatus},
	{"HTTP/1.1 +20 \r\n\r\n", ErrStatus},
	{"HTTP/1.1 -00 \r\n\r\n", ErrStatus},
	{"HTTP/1.1 20 \r\n\r\n", ErrStatus},
	{"HTTP/1.1 2000 \r\n\r\n", ErrStatus},
	{"HTTP/1.1\r\n\r\n", ErrStatus},
	{"HTTP/1.0 200 OK\r\n\r\n", nil},
	{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ErrTransferEncodingVersion},
	{"HTTP/2.0 200 OK\r\n\r\n", ErrVersion},
	{"HTTP/1.10 200 OK\r\n\r\n", ErrVersion},
	{"", ErrVersion},
	{"HTTP/1.1 200 OK\r\nX-Text: one,\r\n two\r\n\r\n", nil},
	{"HTTP/1.1 200 OK\r\nX-Text: one\r\n Content-Length: 5\r\n\r\n", ErrFoldedField},
	{"HTTP/1.1 200 OK\r\nX: y\r\n\rContent-Length: 5\r\n\r\n", ErrBareCR},
	{"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nX Name: y\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nX\x01: y\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 200 OK\r\n: y\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 103 Early Hints\r\nX : y\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", ErrFieldName},
}

func TestCheckResponse(t *testing.T) {
	for _, test := range responses {
		require.Equal(t, test.want, CheckResponse([]byte(test.data)), "%q", test.data)
	}
}

// FuzzCheckResponse guards against accepting a head that net/http reads in another way than it was checked: of the heads that both accept, the end is
// the same, and the names of all headers are tokens.
func FuzzCheckResponse(f *testing.F) {
	for _, test := range responses {
		f.Add([]byte(test.data))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := bytes.NewReader(stream)
		buffered := bufio.NewReader(reader)
		request := &http.Request{Method: http.MethodHead} // nothing of the body is read
		response, err := http.ReadResponse(buffered, request)
		if err != nil || CheckResponse(stream) != nil {
			return
		}
		require.GreaterOrEqual(t, response.StatusCode, 100, "%q", stream)
		require.Equal(t, 1, response.ProtoMajor, "%q", stream)
		for name := range response.Header {
			require.True(t, httpguts.ValidHeaderFieldName(name), "%q", name)
		}
		consumed := len(stream) - reader.Len() - buffered.Buffered()
		head, after, ended := cutHead(stream)
		require.True(t, ended, "%q", stream)
		require.Equal(t, len(stream)-len(after), consumed, "%q", head)
		require.Equal(t, response.StatusCode/100 == 1 && response.StatusCode != http.StatusSwitchingProtocols, isInterim(head), "%q", head)
	})
}

func TestHeadLength(t *testing.T) {
	const interim, final = "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	const switching = "HTTP/1.1 101 Switching Protocols\r\n\r\n"
	for data, want := range map[string]int{
		"": 0, interim: 0, final[:20]: 0, final: len(final), interim + final + "body\r\n\r\n": len(interim + final), switching + final: len(switching),
	} {
		length, complete := HeadLength([]byte(data))
		require.Equal(t, want, length, "%q", data)
		require.Equal(t, want > 0, complete, "%q", data)
	}
}

// isStrict reports whether a head is valid for a strict recipient by RFC 9112: lines end with
// CRLF, none is continued, and at most one header determines the end of the body. It shares no
// code with the package.
func isStrict(head string) bool {
	lines := strings.Split(head, "\r\n")
	if len(lines) < 3 || lines[len(lines)-1] != "" || lines[len(lines)-2] != "" || strings.ContainsAny(strings.Join(lines, ""), "\r\n") {
		return false
	}
	framingHeaders := 0 // bit set: 1 is Transfer-Encoding, 2 is Content-Length
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
			framingHeaders |= 1
		case "content-length":
			framingHeaders |= 2
		}
	}
	return framingHeaders < 3
}

// FuzzCheckRequest guards against accepting an ambiguous head or rejecting a valid one: of the
// heads that net/http serves, CheckRequest accepts those that are valid for a strict recipient,
// and no others.
func FuzzCheckRequest(f *testing.F) {
	for _, test := range heads {
		f.Add([]byte(test.head))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := bytes.NewReader(stream)
		buffered := bufio.NewReader(reader)
		if _, err := http.ReadRequest(buffered); err != nil {
			return
		}
		head := stream[:len(stream)-reader.Len()-buffered.Buffered()]
		if !bytes.HasSuffix(head, []byte("\n")) {
			return // net/http also read from the body
		}
		require.Equal(t, isStrict(string(head)), CheckRequest(head) == nil, "%q", head)
	})
}
