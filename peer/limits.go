package peer

import (
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// Bounds on gossip about request limits of back ends. One record takes about 60 bytes.
const (
	maxLimitsPerMessage = 8
	// maxListedLimits bounds the records in the member list for a daemon that has just started.
	maxListedLimits = 512
	// maxQueuedLimits bounds the records that wait to be sent. A daemon that misses one learns of
	// the limit with the next response of the back end.
	maxQueuedLimits = 1024
)

// Limits is the Node's access to the records of back ends that limit their requests.
type Limits = Records[backend.Key, backendlimit.Record]

func limitKey(record backendlimit.Record) backend.Key { return record.Key }

// BroadcastLimit sends a record of the request limit of a back end to peers.
func (n *Node) BroadcastLimit(record backendlimit.Record) {
	broadcastRecord(n, &n.limits, record, record.Service)
}

func encodeLimits(records []backendlimit.Record) []*peerpb.BackendLimit {
	encoded := make([]*peerpb.BackendLimit, 0, len(records))
	for _, record := range records {
		encoded = append(encoded, &peerpb.BackendLimit{
			Service: record.Service, Backend: record.Backend, Limited: record.Limited, PerSecond: record.PerSecond, Started: record.Started, At: record.At.UnixMilli(),
		})
	}
	return encoded
}

func decodeLimits(encoded []*peerpb.BackendLimit) []backendlimit.Record {
	records := make([]backendlimit.Record, 0, len(encoded))
	for _, message := range encoded {
		records = append(records, backendlimit.Record{
			Key: backend.Key{Service: message.Service, Backend: message.Backend}, Limit: backendlimit.Limit{Limited: message.Limited, PerSecond: message.PerSecond},
			Started: message.Started, At: time.UnixMilli(message.At),
		})
	}
	return records
}
