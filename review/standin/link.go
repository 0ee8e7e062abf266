package main

import (
	"net"
	"sync"
)

// link is a proxy in front of a worker. While it is cut, nothing passes in either direction: connections
// hang, and new ones get no answer.
type link struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	healed   chan struct{} // closed while the link is not cut
}

func newLink(address, target string) *link {
	listener, err := net.Listen("tcp", address)
	must(err)
	l := &link{listener: listener, target: target, healed: make(chan struct{})}
	close(l.healed)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l
}

// cut cuts the link.
func (l *link) cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.healed = make(chan struct{})
}

// heal ends the cut.
func (l *link) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.healed)
}

// pass blocks while the link is cut.
func (l *link) pass() {
	l.mutex.Lock()
	healed := l.healed
	l.mutex.Unlock()
	<-healed
}

func (l *link) carry(near net.Conn) {
	defer near.Close()
	l.pass()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		return
	}
	defer far.Close()
	done := make(chan struct{}, 2)
	copyBytes := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			l.pass()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go copyBytes(near, far)
	go copyBytes(far, near)
	<-done
}
