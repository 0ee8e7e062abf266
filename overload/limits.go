package overload

import (
	"net/http"
	"runtime"
)

// Limits bound what callers occupy. A limit of 0 is none.
type Limits struct {
	// Memory is what requests may occupy beyond their allowances, in bytes.
	Memory int64
	// HeadMemory is what large heads that are being served may occupy, in bytes.
	HeadMemory int64
	// Connections is the number of open connections of callers, and PeerConnections that of other daemons.
	Connections, PeerConnections int
	// Frames is the cost of the frames of HTTP/2 that are read in a second, and of the requests of callers that have sent many
	// ahead, in frames without effect.
	Frames float64
}

const (
	// memoryShare is the part of the machine's memory that requests may occupy. The collector of the runtime needs up to as
	// much again.
	memoryShare = 0.25
	// headShare is the part of Limits.Memory that large heads in service may occupy.
	headShare = 0.125
	// connectionShare is the part of the machine's memory for connections, and connectionBytes what a connection needs: its
	// goroutines and buffers, the allowances of its request, and what the system holds of unread bytes.
	connectionShare = 0.25
	connectionBytes = 48 << 10
	// callerDescriptors and peerDescriptors are the parts of all descriptors that callers and other daemons may take. The others
	// are for back ends, the platform and operators.
	callerDescriptors = 0.5
	peerDescriptors   = 0.2
	// unlimitedDescriptors stand for a number that is not known.
	unlimitedDescriptors = 1 << 20
	// minHeadMemory holds one head of the largest size that may be declared.
	minHeadMemory = 4 << 20
	minMemory     = 8 << 20
	// framesPerCore is the cost of frames that takes about half of the time of a core.
	framesPerCore = 25_000
	minPool       = 64
)

// DefaultLimits returns the limits for a machine with this memory in bytes and these processor cores, and a process with this
// many descriptors. Cores and descriptors of 0 are not known.
func DefaultLimits(memory int64, descriptors int, cores float64) Limits {
	limits := Limits{
		Memory:      max(int64(float64(memory)*memoryShare), minMemory),
		Connections: max(int(float64(memory)*connectionShare/connectionBytes), minPool),
	}
	if cores == 0 {
		cores = float64(runtime.GOMAXPROCS(0))
	}
	limits.Frames = framesPerCore * cores
	limits.HeadMemory = max(int64(float64(limits.Memory)*headShare), minHeadMemory)
	if descriptors == 0 {
		descriptors = unlimitedDescriptors
	}
	limits.Connections = min(limits.Connections, max(int(float64(descriptors)*callerDescriptors), minPool))
	limits.PeerConnections = max(int(float64(descriptors)*peerDescriptors), minPool)
	return limits
}

// Allowances need no reservation: each open connection may use one of each kind.
const (
	// HeadAllowance and HeadLineAllowance are the size and the number of lines of a head that is passed on as it arrives.
	HeadAllowance     = 4 << 10
	HeadLineAllowance = 64
	// BodyAllowance is the size of a body that is held.
	BodyAllowance = 4 << 10
)

const (
	// smallReservation is the reservation up to which a connection may use all of the memory; larger ones leave a quarter
	// of it.
	smallReservation = 32 << 10
	// largeShare is the part of the memory that larger reservations may use.
	largeShare = 0.75
)

const (
	// headCopies is how often a head is held while its request is served: as it arrived, parsed, and as it is sent on.
	headCopies = 3
	// headLineBytes is what a header line occupies beyond its bytes: entries of the maps of the received and the sent request.
	headLineBytes = 400
)

// HeadMemory returns the memory that the head of a request over HTTP/2 occupies beyond the allowances.
func HeadMemory(r *http.Request) int64 {
	lines, size := 0, len(r.RequestURI)
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if IsSmallHead(size, lines) {
		return 0
	}
	return headCost(size, lines)
}

// headCost returns the memory that a request with this head occupies.
func headCost(bytes, lines int) int64 {
	return int64(headCopies*bytes + headLineBytes*lines)
}
