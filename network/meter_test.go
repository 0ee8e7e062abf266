package network_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/network"
)

// TestMeterCountsByPurpose checks the counts of two connections with different purposes.
func TestMeterCountsByPurpose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	meter := network.NewMeter(network.TCP{})
	for purpose, text := range map[string]string{"news": "four", "places": "sixteen bytes..."} {
		conn, err := meter.For(purpose).Dial(t.Context(), listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		_, err = io.ReadFull(conn, make([]byte, len(text)))
		require.NoError(t, err)
	}
	require.Equal(t, map[string]network.Traffic{
		"news":   {Connections: 1, Sent: 4, Received: 4},
		"places": {Connections: 1, Sent: 16, Received: 16},
	}, meter.Totals())
}
