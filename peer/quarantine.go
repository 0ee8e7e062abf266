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
	Records[quarantine.Fingerprint, quarantine.Record]
	// Digest tells daemons apart that hold back other requests.
	Digest() uint64
}

// noQuarantine notes nothing.
type noQuarantine struct {
	noRecords[quarantine.Fingerprint, quarantine.Record]
}

func (noQuarantine) Digest() uint64 { return 0 }

func fingerprintOf(record quarantine.Record) quarantine.Fingerprint { return record.Fingerprint }

// BroadcastCrashingRequest spreads what this daemon has noted of a request.
func (n *Node) BroadcastCrashingRequest(record quarantine.Record) {
	tell(n, &n.crashingRequests, record, record.Service)
}

func encodeCrashingRequests(records []quarantine.Record) []*peerpb.CrashingRequest {
	encoded := make([]*peerpb.CrashingRequest, 0, len(records))
	for _, record := range records {
		one := &peerpb.CrashingRequest{
			Fingerprint: uint64(record.Fingerprint), Service: record.Service, Request: record.Description, Cleared: int64(record.ClearedAt), Ordered: int64(record.ManualAt), Broad: record.Broad,
		}
		for _, ending := range record.Crashes {
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
			Fingerprint: quarantine.Fingerprint(one.Fingerprint), Service: one.Service, Description: one.Request,
			ClearedAt: quarantine.Timestamp(one.Cleared), ManualAt: quarantine.Timestamp(one.Ordered), Broad: one.Broad,
		}
		for _, ending := range one.Endings {
			record.Crashes = append(record.Crashes, quarantine.Crash{Backend: quarantine.BackendRun(ending.Backend), At: quarantine.Timestamp(ending.At)})
		}
		records = append(records, record)
	}
	return records
}
