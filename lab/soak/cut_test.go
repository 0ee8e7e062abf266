package soak

import (
	"net"
	"os"
	"testing"

	"github.com/juju/errors"
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
	owner, err := findOwner(accepted, map[string]int{"other": os.Getppid(), "this": os.Getpid()})
	require.NoError(t, err)
	require.Equal(t, "this", owner)
	client.Close()
	_, err = findOwner(accepted, map[string]int{"this": os.Getpid()})
	require.ErrorIs(t, err, errors.NotFound)
}
