package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkMode is how a proxy treats its connections.
type LinkMode string

// Link modes.
const (
	Healthy LinkMode = "whole"
	Delayed LinkMode = "delayed" // each read is forwarded after linkDelay
	Reset   LinkMode = "reset"   // open and new connections are reset
	Silent  LinkMode = "silent"  // nothing is forwarded, connections stay open
	OneWay  LinkMode = "one-way" // data from the server is not forwarded
	Closed  LinkMode = "closed"  // new connections are reset, open ones live on
)

// linkDelay is the delay before each forwarded read on a delayed link.
const linkDelay = 60 * time.Millisecond

// proxy is a TCP proxy to one address. It is safe for concurrent use.
type proxy struct {
	address string
	target  string
	cuts    *cutter // cuts daemons off from what is behind this proxy; nil: none

	mutex       sync.Mutex
	listener    net.Listener
	closed      bool // for good
	mode        LinkMode
	connections map[net.Conn]bool // whether a client opened it
}

func startProxy(address, target string, cuts *cutter) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		address: listener.Addr().String(), target: target, cuts: cuts, listener: listener, mode: Healthy, connections: make(map[net.Conn]bool),
	}
	go p.serve(listener)
	return p, nil
}

func (p *proxy) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.relay(conn)
	}
}

func (p *proxy) currentMode() LinkMode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.mode
}

// modeOf returns the mode of the link that a client's connection belongs to.
func (p *proxy) modeOf(client net.Conn) LinkMode {
	if mode := p.cuts.modeOf(client); mode != Healthy {
		return mode
	}
	return p.currentMode()
}

// resetCut resets the open connections of daemons whose links are reset.
func (p *proxy) resetCut() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn, fromClient := range p.connections {
		if fromClient && p.cuts.modeOf(conn) == Reset {
			reset(conn)
		}
	}
}

// setMode changes the link mode. Mode Reset also resets the open connections.
func (p *proxy) setMode(mode LinkMode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = mode
	if mode != Reset {
		return
	}
	for conn := range p.connections {
		reset(conn)
	}
}

// refuse makes the system refuse new connections until accept. Open ones live on.
func (p *proxy) refuse() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listener.Close()
}

// accept ends refuse.
func (p *proxy) accept() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener.Close()
	p.listener = listener
	go p.serve(listener)
	return nil
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.resetOpen()
}

// resetOpen is resetAll for callers that hold the mutex.
func (p *proxy) resetOpen() {
	for conn := range p.connections {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (p *proxy) relay(client net.Conn) {
	defer p.cuts.forget(client)
	if mode := p.modeOf(client); mode == Reset || mode == Closed {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.track(client, true)
	p.track(server, false)
	var copies sync.WaitGroup
	copies.Go(func() { p.copyOneWay(server, client, client, false) })
	copies.Go(func() { p.copyOneWay(client, server, client, true) })
	copies.Wait()
	p.untrack(client)
	p.untrack(server)
}

func (p *proxy) track(conn net.Conn, fromClient bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connections[conn] = fromClient
}

func (p *proxy) untrack(conn net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, conn)
}

// copyOneWay forwards data in one direction until either side ends. fromServer is set for
// the direction from the server to the client.
func (p *proxy) copyOneWay(to, from, client net.Conn, fromServer bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for n > 0 && p.withholds(client, fromServer) {
			time.Sleep(10 * time.Millisecond)
		}
		if p.modeOf(client) == Delayed {
			time.Sleep(linkDelay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

// withholds reports whether what was read is not forwarded now.
func (p *proxy) withholds(client net.Conn, fromServer bool) bool {
	mode := p.modeOf(client)
	return mode == Silent || mode == OneWay && fromServer
}

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	p.mutex.Lock()
	p.closed = true
	p.listener.Close()
	p.mutex.Unlock()
	p.setMode(Reset)
}
