package soak

import (
	"net"
	"sync"
)

// cutter cuts daemons off from all back ends. It finds out which daemon opened a connection from the
// system's table of sockets, as all of them come from the same address. It is safe for concurrent use.
type cutter struct {
	pids func() map[string]int // process ids of the daemons, by name
	log  func(format string, arguments ...any)

	sockets socketTable

	mutex  sync.Mutex
	modes  map[string]LinkMode // of the daemons that are cut off
	owners map[net.Conn]string // daemons that opened connections to proxies
}

func newCutter(pids func() map[string]int, log func(format string, arguments ...any)) *cutter {
	return &cutter{pids: pids, log: log, modes: make(map[string]LinkMode), owners: make(map[net.Conn]string)}
}

// set sets the mode of a daemon's links to all back ends.
func (c *cutter) set(daemon string, mode LinkMode) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if mode == Healthy {
		delete(c.modes, daemon)
		return
	}
	c.modes[daemon] = mode
}

// modeOf returns the mode of the link that a connection of a daemon belongs to.
func (c *cutter) modeOf(client net.Conn) LinkMode {
	if c == nil {
		return Healthy
	}
	c.mutex.Lock()
	cut := len(c.modes) > 0
	owner, known := c.owners[client]
	c.mutex.Unlock()
	if !cut {
		return Healthy
	}
	if !known {
		owner = c.findOwner(client)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.owners[client] = owner
	if mode, cut := c.modes[owner]; cut {
		return mode
	}
	return Healthy
}

// findOwner returns the daemon that opened a connection; empty: it is not known, or the other end is closed.
func (c *cutter) findOwner(client net.Conn) string {
	wanted, err := otherEnd(client)
	if err != nil {
		c.log("owner of a connection not found: %v", err)
		return ""
	}
	owner, err := c.sockets.ownerOf(wanted, c.pids)
	if err != nil {
		c.log("owner of a connection not found: %v", err)
	}
	return owner
}

// forget removes a connection that has ended.
func (c *cutter) forget(client net.Conn) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.owners, client)
}
