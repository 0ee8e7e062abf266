// Package network abstracts the network of a daemon: TCP, or in tests a network in
// memory with scripted faults.
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

// TCP is the TCP network of the machine.
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

// AbortOnClose makes a connection discard what it has sent and the other side has not acknowledged when
// it is closed, and reset the connection. By default the system goes on sending that in the background.
func AbortOnClose(conn net.Conn) {
	for {
		if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = lingerer.SetLinger(0) // fails only if the connection is closed already
			return
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		conn = wrapper.NetConn()
	}
}
