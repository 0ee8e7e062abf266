package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkMode is how a proxy treats what passes over it.
type LinkMode string

// The treatments.
const (
	Healthy LinkMode = "whole"
	Delayed LinkMode = "delayed" // each piece comes later
	Reset   LinkMode = "reset"   // connections are reset, new ones too
	Silent  LinkMode = "silent"  // nothing passes, nothing is closed
	OneWay  LinkMode = "one-way" // only what the server says is lost
)

// linkDelay is how much later each piece comes over a delayed link.
const linkDelay = 60 * time.Millisecond

// proxy passes connections on to one address. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	link  LinkMode
	open  map[net.Conn]bool
}

func startProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, link: Healthy, open: make(map[net.Conn]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(conn)
	}
}

func (p *proxy) state() LinkMode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.link
}

// set changes the treatment; open connections are reset where it says so.
func (p *proxy) set(link LinkMode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.link = link
	if link != Reset {
		return
	}
	for conn := range p.open {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (p *proxy) join(client net.Conn) {
	if p.state() == Reset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.keep(client, true)
	p.keep(server, true)
	var copying sync.WaitGroup
	copying.Go(func() { p.pass(server, client, false) })
	copying.Go(func() { p.pass(client, server, true) })
	copying.Wait()
	p.keep(client, false)
	p.keep(server, false)
}

func (p *proxy) keep(conn net.Conn, open bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if open {
		p.open[conn] = true
		return
	}
	delete(p.open, conn)
}

// pass copies one way until either side ends. answers says that it is the server's way.
func (p *proxy) pass(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	piece := make([]byte, 32<<10)
	for {
		n, err := from.Read(piece)
		for n > 0 && (p.state() == Silent || p.state() == OneWay && answers) {
			time.Sleep(10 * time.Millisecond)
		}
		if p.state() == Delayed {
			time.Sleep(linkDelay)
		}
		if n > 0 {
			if _, writeErr := to.Write(piece[:n]); writeErr != nil {
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

// close ends the proxy and its connections.
func (p *proxy) close() {
	p.listener.Close()
	p.set(Reset)
}
