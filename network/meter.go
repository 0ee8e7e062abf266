package network

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Traffic is what passed over the connections opened for one purpose.
type Traffic struct {
	Connections int64
	Sent        int64 // bytes
	Received    int64 // bytes
}

// Meter counts what passes over the connections that a daemon opens, by what they
// are for. It is safe for concurrent use.
type Meter struct {
	under Network

	mutex    sync.Mutex
	counters map[string]*counter
}

type counter struct {
	connections, sent, received atomic.Int64
}

// NewMeter returns a meter that opens connections over a network.
func NewMeter(under Network) *Meter {
	return &Meter{under: under, counters: make(map[string]*counter)}
}

// For returns the network with connections counted under a purpose. Purposes are
// few and fixed in the code.
func (m *Meter) For(purpose string) Network {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counted, known := m.counters[purpose]
	if !known {
		counted = &counter{}
		m.counters[purpose] = counted
	}
	return &metered{Network: m.under, counter: counted}
}

// Totals returns the traffic since the start, by purpose.
func (m *Meter) Totals() map[string]Traffic {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	totals := make(map[string]Traffic, len(m.counters))
	for purpose, counted := range m.counters {
		totals[purpose] = Traffic{
			Connections: counted.connections.Load(), Sent: counted.sent.Load(), Received: counted.received.Load(),
		}
	}
	return totals
}

// metered implements Network.
type metered struct {
	Network
	counter *counter
}

// Dial implements Network.
func (m *metered) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := m.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	m.counter.connections.Add(1)
	return &meteredConn{Conn: conn, counter: m.counter}, nil
}

// meteredConn implements net.Conn.
type meteredConn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counter.sent.Add(int64(n))
	return n, err
}
