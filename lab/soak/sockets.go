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
	"time"
)

// endpoint is one end of a TCP connection. Both addresses identify it: the system uses a local port for
// several connections if their remote addresses differ.
type endpoint struct {
	local, remote netip.AddrPort
}

// otherEnd returns the other end of a connection.
func otherEnd(conn net.Conn) (endpoint, error) {
	local, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return endpoint{}, err
	}
	remote, err := netip.ParseAddrPort(conn.LocalAddr().String())
	return endpoint{local: local, remote: remote}, err
}

// socketTable tells which process holds an end of a connection. All calls that wait share one reading of the
// system's table, as that takes long while there are many sockets. It is safe for concurrent use.
type socketTable struct {
	mutex  sync.Mutex
	readAt time.Time // when the last reading began
	owners map[endpoint]string
}

// ownerOf returns the name of the process, of these, that holds an end of a connection; empty: none does.
func (s *socketTable) ownerOf(wanted endpoint, pids func() map[string]int) (string, error) {
	called := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readAt.After(called) {
		return s.owners[wanted], nil
	}
	readAt := time.Now()
	owners, err := readOwners(pids())
	if err != nil {
		return "", err
	}
	s.readAt, s.owners = readAt, owners
	return owners[wanted], nil
}

// readOwners returns the processes that hold the ends of IPv4 connections.
func readOwners(pids map[string]int) (map[endpoint]string, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil, err
	}
	holders, err := readHolders(pids)
	if err != nil {
		return nil, err
	}
	owners := make(map[endpoint]string)
	for end, inode := range parseSockets(string(table)) {
		if name, held := holders[inode]; held {
			owners[end] = name
		}
	}
	return owners, nil
}

// readHolders returns which process holds the socket with an inode.
func readHolders(pids map[string]int) (map[string]string, error) {
	holders := make(map[string]string)
	for name, pid := range pids {
		files, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "fd", "*"))
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			link, err := os.Readlink(file)
			if err != nil {
				continue // the file was closed meanwhile
			}
			if inode, found := strings.CutPrefix(link, "socket:["); found {
				holders[strings.TrimSuffix(inode, "]")] = name
			}
		}
	}
	return holders, nil
}

// Columns of the system's table of sockets.
const (
	columnLocalAddress  = 1
	columnRemoteAddress = 2
	columnInode         = 9
)

// noInode is shown for a connection that its process has closed.
const noInode = "0"

// parseSockets returns the inodes of the connections in a table of IPv4 sockets.
func parseSockets(table string) map[endpoint]string {
	inodes := make(map[endpoint]string)
	for line := range strings.Lines(table) {
		columns := strings.Fields(line)
		if len(columns) <= columnInode || columns[columnInode] == noInode {
			continue
		}
		local, localErr := parseTableAddress(columns[columnLocalAddress])
		remote, remoteErr := parseTableAddress(columns[columnRemoteAddress])
		if localErr == nil && remoteErr == nil { // the first line holds the names of the columns
			inodes[endpoint{local: local, remote: remote}] = columns[columnInode]
		}
	}
	return inodes
}

// parseTableAddress parses an IPv4 address as the table of sockets shows it: the octets in reverse order.
func parseTableAddress(text string) (netip.AddrPort, error) {
	var octets [4]byte
	var port uint16
	if _, err := fmt.Sscanf(text, "%02X%02X%02X%02X:%04X", &octets[3], &octets[2], &octets[1], &octets[0], &port); err != nil {
		return netip.AddrPort{}, err
	}
	return netip.AddrPortFrom(netip.AddrFrom4(octets), port), nil
}
