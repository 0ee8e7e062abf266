package backend

import (
	"context"
	"syscall"

	"github.com/juju/errors"
)

// Liveness is the state of the process at an address, according to a connection attempt.
type Liveness string

const (
	// Alive: the process accepts connections.
	Alive Liveness = "alive"
	// Exited: the machine refuses the connection, as no process listens on the port.
	Exited Liveness = "ended"
	// Unreachable: there was no reply. The machine may be down, or the network partitioned.
	Unreachable Liveness = "unreached"
)

// IsConnectionRefused reports whether the error is a refused connection: no process listens on the port.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// CheckLiveness opens one connection to the server and closes it. It blocks until the
// connection is established or has failed, or ctx ends.
func (c *Client) CheckLiveness(ctx context.Context) Liveness {
	ctx, cancel := context.WithTimeout(ctx, c.options.ConnectTimeout)
	defer cancel()
	conn, err := c.options.Network.Dial(ctx, c.options.Address)
	switch {
	case err == nil:
		conn.Close()
		return Alive
	case IsConnectionRefused(err):
		return Exited
	}
	return Unreachable
}
