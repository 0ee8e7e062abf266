package soak

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOwnerOfConnectionIsFound checks that a connection is attributed to the process that opened it.
func TestOwnerOfConnectionIsFound(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	pids := func() map[string]int { return map[string]int{"other": os.Getppid(), "this": os.Getpid()} }
	wanted, err := otherEnd(accepted)
	require.NoError(t, err)
	var sockets socketTable
	owner, err := sockets.ownerOf(wanted, pids)
	require.NoError(t, err)
	require.Equal(t, "this", owner)
	client.Close()
	sockets = socketTable{}
	owner, err = sockets.ownerOf(wanted, pids)
	require.NoError(t, err)
	require.Empty(t, owner)
}

// TestConnectionsFromSharedPortAreTold guards against taking one connection for another one that was opened from the
// same local port to another address.
func TestConnectionsFromSharedPortAreTold(t *testing.T) {
	const table = `  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:8900 0100007F:1F90 06 00000000:00000000 03:00000D39 00000000     0        0 0 3 00000000894ad47e
   1: 0100007F:8900 0100007F:1F91 01 00000000:00000000 00:00000000 00000000     0        0 1166 1 00000000ea6be51d 100 0 0 10 0
   2: 0100007F:8900 0100007F:1F90 01 00000000:00000000 00:00000000 00000000     0        0 1167 1 00000000ea6be51e 100 0 0 10 0
`
	inodes := parseSockets(table)
	for remote, inode := range map[string]string{"127.0.0.1:8080": "1167", "127.0.0.1:8081": "1166", "127.0.0.1:8082": ""} {
		require.Equal(t, inode, inodes[endpoint{local: netip.MustParseAddrPort("127.0.0.1:35072"), remote: netip.MustParseAddrPort(remote)}], remote)
	}
}

// TestLookUpsShareReading guards against a reading of the table of sockets for each of many connections, which took
// gigabytes of memory at the start of a cut.
func TestLookUpsShareReading(t *testing.T) {
	readings := 0
	pids := func() map[string]int {
		readings++
		time.Sleep(50 * time.Millisecond)
		return nil
	}
	var sockets socketTable
	var lookUps sync.WaitGroup
	for port := range uint16(100) {
		lookUps.Go(func() {
			_, err := sockets.ownerOf(endpoint{local: netip.AddrPortFrom(netip.IPv4Unspecified(), port)}, pids)
			assert.NoError(t, err)
		})
	}
	lookUps.Wait()
	require.LessOrEqual(t, readings, 10)
}
