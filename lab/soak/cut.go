package soak

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// cutter cuts daemons off from all back ends. It finds out which daemon opened a connection from the
// system's table of sockets, as all of them come from the same address. It is safe for concurrent use.
type cutter struct {
	pids func() map[string]int // process ids of the daemons, by name
	log  func(format string, arguments ...any)

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

// findOwner returns the daemon that opened a connection; empty: it is not known.
func (c *cutter) findOwner(client net.Conn) string {
	owner, err := findOwner(client, c.pids())
	if err != nil && !errors.Is(err, errors.NotFound) { // a connection whose other end is closed has no owner
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

// findOwner returns the name of the process that opened a connection.
func findOwner(client net.Conn, pids map[string]int) (string, error) {
	remote, err := netip.ParseAddrPort(client.RemoteAddr().String())
	if err != nil {
		return "", err
	}
	inode, err := socketInode(remote)
	if err != nil {
		return "", err
	}
	link := "socket:[" + inode + "]"
	for name, pid := range pids {
		files, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "fd", "*"))
		if err != nil {
			return "", err
		}
		for _, file := range files {
			if target, err := os.Readlink(file); err == nil && target == link { // a file that is gone is not the one
				return name, nil
			}
		}
	}
	return "", errors.NotFoundf("process with socket %s", remote)
}

// Columns of the system's table of sockets.
const (
	columnLocalAddress = 1
	columnInode        = 9
)

// socketInode returns the inode of the socket that is bound to a local IPv4 address.
func socketInode(local netip.AddrPort) (string, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	octets := local.Addr().Unmap().As4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", octets[3], octets[2], octets[1], octets[0], local.Port())
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) > columnInode && columns[columnLocalAddress] == want && columns[columnInode] != "0" {
			return columns[columnInode], nil
		}
	}
	return "", errors.NotFoundf("socket %s", local)
}
