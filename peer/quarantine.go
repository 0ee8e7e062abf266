package peer

import (
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/quarantine"
)

// Bounds of what is told of requests under which back ends ended; one takes about 200 bytes.
const (
	// maxCrashingRequests bounds them in one message.
	maxCrashingRequests = 8
	// maxListedCrashingRequests bounds them in a list for a daemon that has just started.
	maxListedCrashingRequests = 512
	// maxCrashingRumors bounds those that wait to be told. What is dropped comes with the next
	// list, if the request is held back.
	maxCrashingRumors = 1024
)

// Quarantine is what a Node asks and tells of requests under which back ends ended. No method
// blocks.
type Quarantine interface {
	// Take takes in what others have noted, and returns what of it is news.
	Take(told []quarantine.Record) []quarantine.Record
	// Record returns what is noted of a request.
	Record(fingerprint quarantine.Fingerprint) (quarantine.Record, bool)
	// Records returns what is noted, what matters most first, at most so many.
	Records(most int) []quarantine.Record
	// Digest tells daemons apart that hold back other requests.
	Digest() uint64
}

// noQuarantine notes nothing.
type noQuarantine struct{}

func (noQuarantine) Take([]quarantine.Record) []quarantine.Record { return nil }
func (noQuarantine) Record(quarantine.Fingerprint) (quarantine.Record, bool) {
	return quarantine.Record{}, false
}
func (noQuarantine) Records(int) []quarantine.Record { return nil }
func (noQuarantine) Digest() uint64                  { return 0 }

// gossipOfQuarantine is what daemons tell each other of requests under which back ends ended.
func gossipOfQuarantine(known Quarantine) gossip[quarantine.Fingerprint, quarantine.Record] {
	return gossip[quarantine.Fingerprint, quarantine.Record]{
		rumors: make(rumors[quarantine.Fingerprint]), most: maxCrashingRequests, waiting: maxCrashingRumors,
		key: func(record quarantine.Record) quarantine.Fingerprint { return record.Fingerprint }, newest: known.Record, take: known.Take,
	}
}

// TellCrashingRequest spreads what this daemon has noted of a request.
func (n *Node) TellCrashingRequest(record quarantine.Record) {
	tell(n, &n.crashingRequests, record.Fingerprint, record.Service)
}

func encodeCrashingRequests(records []quarantine.Record) []*peerpb.CrashingRequest {
	encoded := make([]*peerpb.CrashingRequest, 0, len(records))
	for _, record := range records {
		one := &peerpb.CrashingRequest{
			Fingerprint: uint64(record.Fingerprint), Service: record.Service, Request: record.Request, Cleared: int64(record.Cleared), Ordered: int64(record.Ordered), Broad: record.Broad,
		}
		for _, ending := range record.Endings {
			one.Endings = append(one.Endings, &peerpb.Ending{Backend: uint64(ending.Backend), At: int64(ending.At)})
		}
		encoded = append(encoded, one)
	}
	return encoded
}

func decodeCrashingRequests(encoded []*peerpb.CrashingRequest) []quarantine.Record {
	records := make([]quarantine.Record, 0, len(encoded))
	for _, one := range encoded {
		record := quarantine.Record{
			Fingerprint: quarantine.Fingerprint(one.Fingerprint), Service: one.Service, Request: one.Request,
			Cleared: quarantine.Moment(one.Cleared), Ordered: quarantine.Moment(one.Ordered), Broad: one.Broad,
		}
		for _, ending := range one.Endings {
			record.Endings = append(record.Endings, quarantine.Ending{Backend: quarantine.BackendRun(ending.Backend), At: quarantine.Moment(ending.At)})
		}
		records = append(records, record)
	}
	return records
}
