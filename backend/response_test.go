package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/resultcode"
)

// serveOnce reads one request, calls respond, and closes the connection.
func serveOnce(t *testing.T, respond func(to net.Conn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		defer accepted.Close()
		if _, err := http.ReadRequest(bufio.NewReader(accepted)); err != nil {
			return
		}
		respond(accepted)
	}()
	return listener.Addr().String()
}

// serveTruncated states a body of the given length, sends only a part of it, and closes
// the connection.
func serveTruncated(t *testing.T, length, sent int) (address string) {
	return serveOnce(t, func(to net.Conn) {
		fmt.Fprintf(to, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
	})
}

func get(t *testing.T, address string) (*http.Response, error) {
	client := backend.NewClient(backend.Options{Network: network.TCP{}, Address: address, MaxConnections: 1})
	t.Cleanup(client.Close)
	return client.Do(t.Context(), &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: make(http.Header)})
}

// TestTruncatedShortResponse checks that no part of a truncated short response is returned, and
// that the failure says that the request may have run.
func TestTruncatedShortResponse(t *testing.T) {
	_, err := get(t, serveTruncated(t, 400, 399))
	var failure *backend.Failure
	require.True(t, errors.As(err, &failure), "%v", err)
	require.Equal(t, resultcode.ConnectionBroken, failure.Code)
}

// TestResponsesAreComplete checks that short and long responses arrive unchanged, and that the
// truncation of a long one is reported while its body is read.
func TestResponsesAreComplete(t *testing.T) {
	for length, sent := range map[int]int{0: 0, 1: 1, 32 << 10: 32 << 10, 100_000: 100_000, 100_001: 50_000} {
		response, err := get(t, serveTruncated(t, length, sent))
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.Len(t, body, sent)
		if sent < length {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			continue
		}
		require.NoError(t, err)
	}
}

// TestAmbiguousLongHeadIsRejected guards against a head of which only the beginning is checked.
func TestAmbiguousLongHeadIsRejected(t *testing.T) {
	for _, length := range []int{10 << 10, 20 << 10, 30 << 10} {
		_, err := get(t, serveOnce(t, func(to net.Conn) {
			fmt.Fprintf(to, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Long: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", strings.Repeat("x", length))
		}))
		var failure *backend.Failure
		require.True(t, errors.As(err, &failure), "%d bytes: %v", length, err)
		require.Equal(t, resultcode.AnswerUnverifiable, failure.Code)
	}
}

// TestUpgradeIsAsAsked guards against a response that switches the protocol without naming one, or without having been asked.
func TestUpgradeIsAsAsked(t *testing.T) {
	const named = "Connection: Upgrade\r\nUpgrade: other\r\n"
	for _, test := range []struct {
		asked  bool
		fields string
		want   bool
	}{{true, named, true}, {true, "", false}, {false, named, false}, {false, "", false}} {
		address := serveOnce(t, func(to net.Conn) {
			fmt.Fprintf(to, "HTTP/1.1 101 Switching Protocols\r\n%s\r\n", test.fields)
		})
		client := backend.NewClient(backend.Options{Address: address})
		t.Cleanup(client.Close)
		request := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: make(http.Header)}
		if test.asked {
			request.Header.Set("Connection", "Upgrade")
			request.Header.Set("Upgrade", "other")
		}
		response, err := client.Do(t.Context(), request)
		require.Equal(t, test.want, err == nil, "%+v: %v", test, err)
		if err == nil {
			response.Body.Close()
		}
	}
}

// TestAmbiguousResponseIsRejected checks that a response with both Content-Length and chunked encoding
// is rejected and its connection closed, also after an interim response and if it arrives byte by byte.
func TestAmbiguousResponseIsRejected(t *testing.T) {
	const ambiguous = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	for _, piece := range []int{1, len(ambiguous)} {
		closed := make(chan struct{})
		address := serveOnce(t, func(to net.Conn) {
			defer close(closed)
			for rest := ambiguous; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
				fmt.Fprint(to, rest[:min(piece, len(rest))])
			}
			_, _ = io.Copy(io.Discard, to) // until the other side closes
		})
		_, err := get(t, address)
		var failure *backend.Failure
		require.True(t, errors.As(err, &failure), "%v", err)
		require.Equal(t, resultcode.AnswerUnverifiable, failure.Code)
		<-closed
	}
}
