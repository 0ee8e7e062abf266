package pipelining

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/framing"
)

// Requests for the tests of refused heads.
const (
	plainGet         = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
	plainPost        = "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 31\r\n\r\n" + "GET /a HTTP/1.1\r\nX: y\nhost: a\n\n"
	lengthAndChunked = "POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	bareLF           = "GET /d HTTP/1.1\r\nHost: a\nX: y\r\n\r\n"
	foldedLine       = "GET /e HTTP/1.1\r\nHost: a\r\nX: y\r\n z\r\n\r\n"
	chunkedPost      = "POST /g HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab\n\nc\r\n0\r\n\r\n"
	openLinePost     = "POST /h HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\na\nbc" // the next head begins within a line
	headInHeader     = "GET /f HTTP/1.1\r\nHost: a\nX: GET /f HTTP/1.1\r\nY: z\r\n\r\n"
)

// newStrictServer returns a server that refuses ambiguous heads and records the requests that its
// handler gets.
func newStrictServer(t *testing.T) (address string, served *[]string) {
	t.Helper()
	served = new([]string)
	pipelined := New(Options{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			*served = append(*served, r.URL.Path+string(body))
		}),
		Repeatable: func(*http.Request) bool { return false }, Closing: func() bool { return false },
		Refuse: func(w http.ResponseWriter, _ *http.Request, cause error) {
			http.Error(w, cause.Error(), http.StatusBadRequest)
		},
		MaxPerConnection: 4, MaxTotal: 4, MaxReadAheadBytes: 64 << 10, MaxBufferedBodyBytes: 32 << 10,
	})
	server := httptest.NewUnstartedServer(pipelined)
	server.Config.ConnContext = pipelined.ConnContext
	server.Listener = pipelined.WrapListener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), served
}

// TestAmbiguousHeadsAreRefused guards against request smuggling: an ambiguous head is refused
// wherever it is on its connection, and the connection is closed, so that no bytes after it
// are taken for a request. Requests before it are served, including bodies that look like heads.
func TestAmbiguousHeadsAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		sent   string
		cause  error
		served []string
	}{
		"length and chunked":                   {lengthAndChunked + plainGet, framing.ErrLengthAndTransferEncoding, nil},
		"bare line feed":                       {bareLF + plainGet, framing.ErrBareLF, nil},
		"folded line":                          {foldedLine + plainGet, framing.ErrLineFolding, nil},
		"head within a header":                 {headInHeader, framing.ErrBareLF, nil},
		"after a request":                      {plainGet + bareLF + plainGet, framing.ErrBareLF, []string{"/a"}},
		"after a body that contains a head":    {plainPost + plainGet + foldedLine, framing.ErrLineFolding, []string{"/b" + plainPost[len(plainPost)-31:], "/a"}},
		"after a body that ends within a line": {openLinePost + plainGet + openLinePost + bareLF, framing.ErrBareLF, []string{"/ha\nbc", "/a", "/ha\nbc"}},
		"after a chunked body":                 {chunkedPost + plainGet + chunkedPost + headInHeader, framing.ErrBareLF, []string{"/gab\n\nc", "/a", "/gab\n\nc"}},
		"chunked with HTTP 1.0":                {strings.Replace(strings.Replace(lengthAndChunked, "Content-Length: 5\r\n", "", 1), "HTTP/1.1", "HTTP/1.0", 1), framing.ErrTransferEncodingVersion, nil},
	} {
		t.Run(name, func(t *testing.T) {
			address, served := newStrictServer(t)
			caller, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer caller.Close()
			_, err = io.WriteString(caller, test.sent)
			require.NoError(t, err)
			responses := bufio.NewReader(caller)
			for range test.served {
				response, err := http.ReadResponse(responses, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
			response, err := http.ReadResponse(responses, nil)
			require.NoError(t, err)
			reason, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
			require.Equal(t, test.cause.Error(), strings.TrimSpace(string(reason)))
			require.True(t, response.Close)
			rest, _ := io.ReadAll(responses) // the connection may be reset, as bytes were left unread
			require.Empty(t, rest)
			require.Equal(t, test.served, *served)
		})
	}
}

// TestLongBodiesAreNotRecorded guards against recording whole bodies: no more than the length of a
// head is recorded, and the head after a body is found.
func TestLongBodiesAreNotRecorded(t *testing.T) {
	server := New(Options{Refuse: func(http.ResponseWriter, *http.Request, error) {}})
	c := newConn(nil, server)
	for range 100 {
		c.recordHead(make([]byte, 5000))
	}
	require.LessOrEqual(t, len(c.head.recorded), maxRecorded)
	c.head = headRecorder{bodyLeft: 10_000}
	c.recordHead(make([]byte, 9_990))
	c.recordHead([]byte("0123456789" + plainGet))
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(plainGet)))
	require.NoError(t, err)
	require.NoError(t, c.checkHead(request))
	require.Empty(t, c.head.recorded)
}
