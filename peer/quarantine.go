package peer

import (
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/quarantine"
)

// Bounds on gossip about requests that crash back ends. One record takes about 200 bytes.
const (
	maxCrashingRequestsPerMessage = 8
	// maxListedCrashingRequests bounds the records in the member list for a daemon that has just
	// started.
	maxListedCrashingRequests = 512
	// maxQueuedCrashingRequests bounds the records that wait to be sent. A daemon that misses one
	// receives it with the next member list, if the request is quarantined.
	maxQueuedCrashingRequests = 1024
)

// Quarantine is the Node's access to the records of requests that crash back ends. No method
// blocks.
type Quarantine interface {
	Records[quarantine.Fingerprint, quarantine.Record]
	// Digest returns a value that differs between daemons with different quarantined requests.
	Digest() uint64
}

// noQuarantine is a Quarantine without records.
type noQuarantine struct {
	noRecords[quarantine.Fingerprint, quarantine.Record]
}

func (noQuarantine) Digest() uint64 { return 0 }

func quarantineKey(record quarantine.Record) quarantine.Fingerprint { return record.Fingerprint }

// BroadcastCrashingRequest sends a record of a request that crashes back ends to peers.
func (n *Node) BroadcastCrashingRequest(record quarantine.Record) {
	broadcastRecord(n, &n.crashingRequests, record, record.Service)
}

func encodeCrashingRequests(records []quarantine.Record) []*peerpb.CrashingRequest {
	encoded := make([]*peerpb.CrashingRequest, 0, len(records))
	for _, record := range records {
		message := &peerpb.CrashingRequest{
			Fingerprint: uint64(record.Fingerprint), Service: record.Service, Request: record.Description, Cleared: int64(record.ClearedAt), Ordered: int64(record.ManualAt), Broad: record.Broad,
		}
		for _, crash := range record.Crashes {
			message.Endings = append(message.Endings, &peerpb.Ending{Backend: uint64(crash.Backend), At: int64(crash.At)})
		}
		encoded = append(encoded, message)
	}
	return encoded
}

func decodeCrashingRequests(encoded []*peerpb.CrashingRequest) []quarantine.Record {
	records := make([]quarantine.Record, 0, len(encoded))
	for _, message := range encoded {
		record := quarantine.Record{
			Fingerprint: quarantine.Fingerprint(message.Fingerprint), Service: message.Service, Description: message.Request,
			ClearedAt: quarantine.Timestamp(message.Cleared), ManualAt: quarantine.Timestamp(message.Ordered), Broad: message.Broad,
		}
		for _, crash := range message.Endings {
			record.Crashes = append(record.Crashes, quarantine.Crash{Backend: quarantine.BackendRun(crash.Backend), At: quarantine.Timestamp(crash.At)})
		}
		records = append(records, record)
	}
	return records
}
