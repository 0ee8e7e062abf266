package network

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Traffic is the traffic on the connections opened for one purpose.
type Traffic struct {
	Connections int64
	Sent        int64 // bytes
	Received    int64 // bytes
}

// Meter counts the traffic on the connections that a daemon opens, by their purpose.
// It is safe for concurrent use.
type Meter struct {
	base Network

	mutex    sync.Mutex
	counters map[string]*counter
}

type counter struct {
	connections, sent, received atomic.Int64
}

// NewMeter returns a meter that opens connections on a network.
func NewMeter(base Network) *Meter {
	return &Meter{base: base, counters: make(map[string]*counter)}
}

// For returns a network whose connections are counted for a purpose. Purposes must be
// constants, as their counters are never removed.
func (m *Meter) For(purpose string) Network {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	purposeCounter, known := m.counters[purpose]
	if !known {
		purposeCounter = &counter{}
		m.counters[purpose] = purposeCounter
	}
	return &meteredNetwork{Network: m.base, counter: purposeCounter}
}

// Totals returns the traffic since the meter was created, by purpose.
func (m *Meter) Totals() map[string]Traffic {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	totals := make(map[string]Traffic, len(m.counters))
	for purpose, purposeCounter := range m.counters {
		totals[purpose] = Traffic{
			Connections: purposeCounter.connections.Load(), Sent: purposeCounter.sent.Load(), Received: purposeCounter.received.Load(),
		}
	}
	return totals
}

// meteredNetwork implements Network.
type meteredNetwork struct {
	Network
	counter *counter
}

// Dial implements Network.
func (m *meteredNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
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

// NetConn returns the wrapped connection.
func (c *meteredConn) NetConn() net.Conn {
	return c.Conn
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
