// Package fakenet is a network in memory for tests in virtual time. Hosts can be
// cut off from each other and frozen; every byte is counted by host.
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

// errUnreachable is what a dial over a cut gets.
const errUnreachable = errors.ConstError("host unreachable")

// Net is one network. It is safe for concurrent use.
type Net struct {
	mutex     sync.Mutex
	hosts     map[string]*Host
	byAddress map[string]*listener
	cut       map[[2]string]bool
	conns     map[*conn]bool
	latency   time.Duration
	rule      func(a, b string) bool
	refusals  func(a, b string) bool
}

// New returns a network on which a message takes latency.
func New(latency time.Duration) *Net {
	return &Net{
		hosts: make(map[string]*Host), byAddress: make(map[string]*listener),
		cut: make(map[[2]string]bool), conns: make(map[*conn]bool), latency: latency,
	}
}

// Host is one machine on the network.
type Host struct {
	net     *Net
	name    string
	ip      netip.Addr
	port    uint16
	sent    atomic.Int64
	dials   atomic.Int64
	frozen  chan struct{} // closed when the host thaws; nil: not frozen
	accepts atomic.Int64
}

// Host returns the host with a name, and makes it if need be.
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

// Network returns the host as a network.Network.
func (n *Net) Network(name string) network.Network {
	return n.Host(name)
}

// Address returns an address of the host with port 0.
func (n *Net) Address(name string) string {
	return netip.AddrPortFrom(n.Host(name).ip, 0).String()
}

// BytesSent returns the bytes the host has written to connections.
func (h *Host) BytesSent() int64 { return h.sent.Load() }

// Connections returns how many connections the host has opened and accepted.
func (h *Host) Connections() int64 { return h.dials.Load() + h.accepts.Load() }

// SetPartitioned cuts two hosts off from each other, or joins them. Connections between
// them break when they are cut.
func (n *Net) SetPartitioned(a, b string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
	if !cut {
		return
	}
	for one := range n.conns {
		if (one.local.name == a && one.remote.name == b) || (one.local.name == b && one.remote.name == a) {
			one.out.end(errReset)
			one.in.end(errReset)
		}
	}
}

// SetPartitionRule cuts off all pairs of hosts for which rule says so; nil lifts that.
// Connections under way are not broken.
func (n *Net) SetPartitionRule(rule func(a, b string) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.rule = rule
}

// SetRefusalRule lets connections from host a to host b be refused for which refusals says so, as a
// firewall does; nil lifts that. Connections under way are not broken.
func (n *Net) SetRefusalRule(refusals func(a, b string) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.refusals = refusals
}

// reaches says whether host a can open a connection to host b. The caller holds
// the mutex.
func (n *Net) reaches(a, b string) bool {
	return !n.cut[[2]string{a, b}] && (n.rule == nil || !n.rule(a, b))
}

// SetFrozen freezes a host's network, or thaws it.
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

// thaw returns a channel that is closed when the host thaws, or nil when it is not
// frozen.
func (h *Host) thaw() chan struct{} {
	h.net.mutex.Lock()
	defer h.net.mutex.Unlock()
	return h.frozen
}

// Dial implements network.Network.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	if thaw := h.thaw(); thaw != nil {
		select {
		case <-thaw:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	h.net.mutex.Lock()
	target := h.net.byAddress[address]
	reachable := target != nil && h.net.reaches(h.name, target.host.name)
	isRefused := target == nil || h.net.refusals != nil && h.net.refusals(h.name, target.host.name)
	h.net.mutex.Unlock()
	if isRefused {
		return nil, refused(address)
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
		return nil, refused(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// refused is what a dial gets where nothing listens.
func refused(address string) error {
	return &net.OpError{Op: "dial", Net: "fake", Err: fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)}
}

// Listen implements network.Network. Port 0 picks the next free one.
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
	one := &listener{host: h, address: bound, incoming: make(chan net.Conn), closed: make(chan struct{})}
	h.net.byAddress[bound.String()] = one
	return one, nil
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
