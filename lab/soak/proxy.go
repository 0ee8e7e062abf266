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
)

// linkDelay is the delay before each forwarded read on a delayed link.
const linkDelay = 60 * time.Millisecond

// proxy is a TCP proxy to one address. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mutex       sync.Mutex
	mode        LinkMode
	connections map[net.Conn]bool
}

func startProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, mode: Healthy, connections: make(map[net.Conn]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
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

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (p *proxy) relay(client net.Conn) {
	if p.currentMode() == Reset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.track(client, true)
	p.track(server, true)
	var copies sync.WaitGroup
	copies.Go(func() { p.copyOneWay(server, client, false) })
	copies.Go(func() { p.copyOneWay(client, server, true) })
	copies.Wait()
	p.track(client, false)
	p.track(server, false)
}

func (p *proxy) track(conn net.Conn, open bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if open {
		p.connections[conn] = true
		return
	}
	delete(p.connections, conn)
}

// copyOneWay forwards data in one direction until either side ends. fromServer is set for
// the direction from the server to the client.
func (p *proxy) copyOneWay(to, from net.Conn, fromServer bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for n > 0 && (p.currentMode() == Silent || p.currentMode() == OneWay && fromServer) {
			time.Sleep(10 * time.Millisecond)
		}
		if p.currentMode() == Delayed {
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

// close stops the proxy and resets its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.setMode(Reset)
}
