package backend

import (
	"context"
	"syscall"

	"github.com/juju/errors"
)

// Liveness is what an attempt to connect tells of the process at an address.
type Liveness string

const (
	// Alive: it accepts connections.
	Alive Liveness = "alive"
	// Exited: its machine answers that nothing listens there.
	Exited Liveness = "ended"
	// Unreachable: nothing was heard. The machine may be dark, or the way to it cut.
	Unreachable Liveness = "unreached"
)

// IsConnectionRefused says whether an error is a connection that was refused: nothing listens there.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// CheckLiveness opens one connection to the server and closes it. It blocks until that has
// succeeded or failed, or ctx ends.
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
