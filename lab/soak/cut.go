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
	inode, err := clientInode(client)
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
	return "", errors.NotFoundf("process with socket %s", client.RemoteAddr())
}

// Columns of the system's table of sockets.
const (
	columnLocalAddress  = 1
	columnRemoteAddress = 2
	columnInode         = 9
)

// noInode is shown for a connection that its process has closed.
const noInode = "0"

// clientInode returns the inode of the socket at the other end of an IPv4 connection that was accepted
// here.
func clientInode(accepted net.Conn) (string, error) {
	local, err := netip.ParseAddrPort(accepted.RemoteAddr().String())
	if err != nil {
		return "", err
	}
	remote, err := netip.ParseAddrPort(accepted.LocalAddr().String())
	if err != nil {
		return "", err
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	inode := findInode(string(table), local, remote)
	if inode == "" {
		return "", errors.NotFoundf("socket %s", local)
	}
	return inode, nil
}

// findInode returns the inode of the socket with these IPv4 addresses in a table of sockets; empty: there
// is none. The system uses a local port for several connections if their remote addresses differ.
func findInode(table string, local, remote netip.AddrPort) string {
	localColumn, remoteColumn := tableAddress(local), tableAddress(remote)
	for line := range strings.Lines(table) {
		columns := strings.Fields(line)
		if len(columns) > columnInode && columns[columnLocalAddress] == localColumn && columns[columnRemoteAddress] == remoteColumn &&
			columns[columnInode] != noInode {
			return columns[columnInode]
		}
	}
	return ""
}

// tableAddress returns an IPv4 address as the table of sockets shows it.
func tableAddress(address netip.AddrPort) string {
	octets := address.Addr().Unmap().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", octets[3], octets[2], octets[1], octets[0], address.Port())
}
