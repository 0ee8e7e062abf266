package soak

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backend"
)

// TestProxyRefusesOnlyNewConnections checks that open connections live on while new ones are refused, that it ends, and that
// a closed proxy stays closed.
func TestProxyRefusesOnlyNewConnections(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 1)
				for {
					if _, err := conn.Read(buffer); err != nil {
						return
					}
					if _, err := conn.Write(buffer); err != nil {
						return
					}
				}
			}()
		}
	}()
	p, err := startProxy("127.0.0.1:0", server.Addr().String(), nil)
	require.NoError(t, err)
	defer p.close()
	requireEcho := func(conn net.Conn) {
		_, err := conn.Write([]byte{1})
		require.NoError(t, err)
		_, err = conn.Read(make([]byte, 1))
		require.NoError(t, err)
	}
	requireRefused := func() {
		_, err := net.Dial("tcp", p.address)
		require.True(t, backend.IsConnectionRefused(err), err)
	}
	open, err := net.Dial("tcp", p.address)
	require.NoError(t, err)
	defer open.Close()
	requireEcho(open)
	p.refuse()
	requireRefused()
	requireEcho(open)
	require.NoError(t, p.accept())
	another, err := net.Dial("tcp", p.address)
	require.NoError(t, err)
	defer another.Close()
	requireEcho(another)
	p.resetAll()
	_, err = open.Read(make([]byte, 1))
	require.Error(t, err)
	p.close()
	require.NoError(t, p.accept())
	requireRefused()
}
