// Package network is how a daemon reaches others and is reached: the machine's
// TCP, or in tests a network in memory whose faults are scripted.
package network

import (
	"context"
	"net"
)

// Network opens connections and listeners. Addresses are IP:port.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the machine's own network.
type TCP struct{}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
