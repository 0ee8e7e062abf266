// Package fakenet is an in-memory network for tests in virtual time. Hosts can be
// partitioned from each other and frozen, and links can fail in several ways; bytes are
// counted by host.
package fakenet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/network"
)

// errUnreachable is the error of a dial across a partition.
const errUnreachable = errors.ConstError("host unreachable")

// Net is an in-memory network. It is safe for concurrent use.
type Net struct {
	mutex         sync.Mutex
	hosts         map[string]*Host
	byAddress     map[string]*listener
	partitioned   map[[2]string]bool
	conns         map[*conn]bool
	latency       time.Duration
	partitionRule func(a, b string) bool
	refusalRule   func(a, b string) bool
	linkRule      func(a, b string) LinkFault
	linksChanged  chan struct{} // closed when linkRule changes
}

// New returns a network with this one-way latency.
func New(latency time.Duration) *Net {
	return &Net{
		hosts: make(map[string]*Host), byAddress: make(map[string]*listener),
		partitioned: make(map[[2]string]bool), conns: make(map[*conn]bool), latency: latency, linksChanged: make(chan struct{}),
	}
}

// Host is a host on the network.
type Host struct {
	net       *Net
	name      string
	ip        netip.Addr
	port      uint16
	bytesSent atomic.Int64
	dials     atomic.Int64
	frozen    chan struct{} // closed on unfreezing; nil: not frozen
	accepts   atomic.Int64
}

// Host returns the host with this name, and creates it if needed.
func (n *Net) Host(name string) *Host {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	host, ok := n.hosts[name]
	if !ok {
		number := len(n.hosts) + 1
		host = &Host{net: n, name: name, ip: netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), port: 1000}
		n.hosts[name] = host
	}
	return host
}

// Network returns the host with this name as a network.Network.
func (n *Net) Network(name string) network.Network {
	return n.Host(name)
}

// Address returns an address of the host with port 0.
func (n *Net) Address(name string) string {
	return netip.AddrPortFrom(n.Host(name).ip, 0).String()
}

// BytesSent returns the number of bytes that the host has written to connections.
func (h *Host) BytesSent() int64 { return h.bytesSent.Load() }

// Connections returns the number of connections that the host has opened and accepted.
func (h *Host) Connections() int64 { return h.dials.Load() + h.accepts.Load() }

// SetPartitioned partitions two hosts from each other, or reconnects them. A partition
// resets the connections between them.
func (n *Net) SetPartitioned(a, b string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitioned[[2]string{a, b}], n.partitioned[[2]string{b, a}] = cut, cut
	if !cut {
		return
	}
	for connection := range n.conns {
		if (connection.local.name == a && connection.remote.name == b) || (connection.local.name == b && connection.remote.name == a) {
			connection.out.end(errReset)
			connection.in.end(errReset)
		}
	}
}

// SetPartitionRule partitions all pairs of hosts for which rule returns true; nil removes the rule.
// Open connections are not reset.
func (n *Net) SetPartitionRule(rule func(a, b string) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitionRule = rule
}

// SetRefusalRule refuses new connections from host a to host b for which refusals returns true, as a
// firewall does; nil removes the rule. Open connections are not reset.
func (n *Net) SetRefusalRule(refusals func(a, b string) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.refusalRule = refusals
}

// LinkFault is what is wrong with the link between two hosts.
type LinkFault int

// Link faults.
const (
	// LinkUp: nothing is wrong.
	LinkUp LinkFault = iota
	// LinkSilent: nothing is delivered on open connections, and new ones are neither opened nor refused.
	LinkSilent
	// LinkReset: open connections are reset, new ones are refused.
	LinkReset
	// LinkResetSilent: open connections are reset, new ones are neither opened nor refused.
	LinkResetSilent
	// LinkRefused: open connections live on, new ones are refused.
	LinkRefused
)

// SetLinkRule sets the fault of the link between each pair of hosts, in both directions; nil removes all faults.
func (n *Net) SetLinkRule(rule func(a, b string) LinkFault) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.linkRule = rule
	close(n.linksChanged)
	n.linksChanged = make(chan struct{})
	for connection := range n.conns {
		if fault := n.linkFault(connection.local.name, connection.remote.name); fault == LinkReset || fault == LinkResetSilent {
			connection.out.end(errReset)
			connection.in.end(errReset)
		}
	}
}

// linkFault returns the fault of the link between two hosts. The caller holds the mutex.
func (n *Net) linkFault(a, b string) LinkFault {
	if n.linkRule == nil {
		return LinkUp
	}
	return max(n.linkRule(a, b), n.linkRule(b, a))
}

// linkState returns the fault of the link between two hosts, and a channel that is closed when faults change.
func (n *Net) linkState(a, b string) (LinkFault, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.linkFault(a, b), n.linksChanged
}

// awaitLink blocks while the link to an address is silent, and returns its fault.
func (h *Host) awaitLink(ctx context.Context, address string) (LinkFault, error) {
	for {
		h.net.mutex.Lock()
		target := h.net.byAddress[address]
		fault, changed := LinkUp, h.net.linksChanged
		if target != nil {
			fault = h.net.linkFault(h.name, target.host.name)
		}
		h.net.mutex.Unlock()
		if fault != LinkSilent && fault != LinkResetSilent {
			return fault, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault, &net.OpError{Op: "dial", Net: "fake", Err: fmt.Errorf("%s: %w", address, ctx.Err())}
		}
	}
}

// canReach reports whether no partition separates host a from host b. The caller holds
// the mutex.
func (n *Net) canReach(a, b string) bool {
	return !n.partitioned[[2]string{a, b}] && (n.partitionRule == nil || !n.partitionRule(a, b))
}

// SetFrozen freezes or unfreezes the network of a host.
func (n *Net) SetFrozen(name string, frozen bool) {
	host := n.Host(name)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	switch {
	case frozen && host.frozen == nil:
		host.frozen = make(chan struct{})
	case !frozen && host.frozen != nil:
		close(host.frozen)
		host.frozen = nil
	}
}

// thawed returns a channel that is closed when the host is unfrozen, or nil if it is
// not frozen.
func (h *Host) thawed() chan struct{} {
	h.net.mutex.Lock()
	defer h.net.mutex.Unlock()
	return h.frozen
}

// Dial implements network.Network.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	if thaw := h.thawed(); thaw != nil {
		select {
		case <-thaw:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	fault, err := h.awaitLink(ctx, address)
	if err != nil {
		return nil, err
	}
	h.net.mutex.Lock()
	target := h.net.byAddress[address]
	reachable := target != nil && h.net.canReach(h.name, target.host.name)
	isRefused := target == nil || fault == LinkReset || fault == LinkRefused || h.net.refusalRule != nil && h.net.refusalRule(h.name, target.host.name)
	h.net.mutex.Unlock()
	if isRefused {
		return nil, connectionRefused(address)
	}
	if !reachable {
		return nil, &net.OpError{Op: "dial", Net: "fake", Err: fmt.Errorf("%s: %w", address, errUnreachable)}
	}
	client, server := h.net.connect(h, target.host)
	select {
	case target.incoming <- server:
		h.dials.Add(1)
		target.host.accepts.Add(1)
		return client, nil
	case <-target.closed:
		return nil, connectionRefused(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connectionRefused returns the error of a dial to an address without a listener.
func connectionRefused(address string) error {
	return &net.OpError{Op: "dial", Net: "fake", Err: fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)}
}

// Listen implements network.Network. Port 0 selects the next free port.
func (h *Host) Listen(address string) (net.Listener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	h.net.mutex.Lock()
	defer h.net.mutex.Unlock()
	port := parsed.Port()
	if port == 0 {
		h.port++
		port = h.port
	}
	bound := netip.AddrPortFrom(h.ip, port)
	created := &listener{host: h, address: bound, incoming: make(chan net.Conn), closed: make(chan struct{})}
	h.net.byAddress[bound.String()] = created
	return created, nil
}

// listener implements net.Listener.
type listener struct {
	host     *Host
	address  netip.AddrPort
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.host.net.mutex.Lock()
		defer l.host.net.mutex.Unlock()
		delete(l.host.net.byAddress, l.address.String())
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}
