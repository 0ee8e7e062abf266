package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/internal/testserver"
)

// TestConnectionWithoutAnswerIsNotReused guards against sending a request on a connection on which an earlier one was
// given up without an answer: a back end that is full and silent answers nothing further there.
func TestConnectionWithoutAnswerIsNotReused(t *testing.T) {
	var requests, connections, afterSilence atomic.Int64
	address := testserver.Listen(t, func(conn net.Conn) {
		defer conn.Close()
		connections.Add(1)
		reader, silent := bufio.NewReader(conn), false
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if silent {
				afterSilence.Add(1)
			}
			if requests.Add(1) == 2 {
				silent = true
				continue
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			request.Body.Close()
		}
	})
	client := backend.NewClient(backend.Options{Address: address, MaxConnections: 2})
	defer client.Close()
	send := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		response, err := client.Do(ctx, &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: make(http.Header)})
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	require.NoError(t, send(10*time.Second))
	require.Error(t, send(100*time.Millisecond), "the second request is not answered")
	for range 4 {
		require.NoError(t, send(10*time.Second))
	}
	require.EqualValues(t, 2, connections.Load(), "the first connection was used before, the second one after the silence")
	require.Zero(t, afterSilence.Load())
}
