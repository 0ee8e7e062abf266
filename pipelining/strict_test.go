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

// Requests of the tests of refused heads.
const (
	plainGet   = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
	plainPost  = "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 31\r\n\r\n" + "GET /a HTTP/1.1\r\nX: y\nhost: a\n\n"
	twoLengths = "POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	bareFeed   = "GET /d HTTP/1.1\r\nHost: a\nX: y\r\n\r\n"
	continued  = "GET /e HTTP/1.1\r\nHost: a\r\nX: y\r\n z\r\n\r\n"
	chunkedTo  = "POST /g HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab\n\nc\r\n0\r\n\r\n"
	unended    = "POST /h HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\na\nbc" // the next head begins within a line
	inHeader   = "GET /f HTTP/1.1\r\nHost: a\nX: GET /f HTTP/1.1\r\nY: z\r\n\r\n"
)

// strictServer refuses heads that could be read in two ways, and notes what its handler is
// given.
func strictServer(t *testing.T) (address string, served *[]string) {
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

// TestAmbiguousHeadsAreRefused refuses a head that could be read in two ways, wherever it
// stands on its connection, and closes the connection, so that nothing behind it is taken
// for a request. What is sent before it is served, bodies that look like heads included.
func TestAmbiguousHeadsAreRefused(t *testing.T) {
	for name, one := range map[string]struct {
		sent   string
		cause  error
		served []string
	}{
		"both lengths":            {twoLengths + plainGet, framing.ErrLengthAndTransferEncoding, nil},
		"a bare line feed":        {bareFeed + plainGet, framing.ErrBareLF, nil},
		"a continued header":      {continued + plainGet, framing.ErrLineFolding, nil},
		"a head in a header":      {inHeader, framing.ErrBareLF, nil},
		"behind a request":        {plainGet + bareFeed + plainGet, framing.ErrBareLF, []string{"/a"}},
		"behind a body of a head": {plainPost + plainGet + continued, framing.ErrLineFolding, []string{"/b" + plainPost[len(plainPost)-31:], "/a"}},
		"behind any body":         {unended + plainGet + unended + bareFeed, framing.ErrBareLF, []string{"/ha\nbc", "/a", "/ha\nbc"}},
		"behind chunks":           {chunkedTo + plainGet + chunkedTo + inHeader, framing.ErrBareLF, []string{"/gab\n\nc", "/a", "/gab\n\nc"}},
		"an old transfer":         {strings.Replace(strings.Replace(twoLengths, "Content-Length: 5\r\n", "", 1), "HTTP/1.1", "HTTP/1.0", 1), framing.ErrTransferEncodingVersion, nil},
	} {
		t.Run(name, func(t *testing.T) {
			address, served := strictServer(t)
			caller, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer caller.Close()
			_, err = io.WriteString(caller, one.sent)
			require.NoError(t, err)
			answers := bufio.NewReader(caller)
			for range one.served {
				answer, err := http.ReadResponse(answers, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, answer.StatusCode)
			}
			answer, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			why, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadRequest, answer.StatusCode)
			require.Equal(t, one.cause.Error(), strings.TrimSpace(string(why)))
			require.True(t, answer.Close)
			rest, _ := io.ReadAll(answers) // the connection may be reset, as bytes were left unread
			require.Empty(t, rest)
			require.Equal(t, one.served, *served)
		})
	}
}

// TestLongBodiesAreNotKept keeps no more of a body than a head may be long, and finds the
// head behind it.
func TestLongBodiesAreNotKept(t *testing.T) {
	server := New(Options{Refuse: func(http.ResponseWriter, *http.Request, error) {}})
	c := newConn(nil, server)
	for range 100 {
		c.keep(make([]byte, 5000))
	}
	require.LessOrEqual(t, len(c.head.kept), maxHead)
	c.head = head{body: 10_000}
	c.keep(make([]byte, 9_990))
	c.keep([]byte("0123456789" + plainGet))
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(plainGet)))
	require.NoError(t, err)
	require.NoError(t, c.malformed(request))
	require.Empty(t, c.head.kept)
}
