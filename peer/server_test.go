package peer

import (
	"context"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/overload"
)

// TestEvictedConnectionsAreReleased guards against connections that are closed for others and occupy memory until a timeout, by
// which callers that speak another protocol end the daemon.
func TestEvictedConnectionsAreReleased(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	const maxOpen, connections = 4, 100
	node := NewNode(Options{Log: slog.New(slog.DiscardHandler), Connections: overload.NewGuard(overload.Limits{}, tally.NoopScope).NewPool("peer", maxOpen)})
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	serving.Go(func() { _ = node.Serve(ctx, listener) })
	defer serving.Wait()
	defer cancel()
	before := runtime.NumGoroutine()
	for range connections {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write([]byte("GET /nowhere/s-1 HTTP/1.1\r\nHost: h\r\nRequest-Id: s-1\r\n" + strings.Repeat("aaaa:\r\n", 100)))
		require.NoError(t, err)
		time.Sleep(time.Millisecond) // the daemon reads it
	}
	// Each open connection has three goroutines.
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+3*maxOpen+3 }, inactivityTimeout/2, 10*time.Millisecond)
}
