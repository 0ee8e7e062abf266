package peer

import (
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// Bounds of what is told of back ends that take fewer requests; one takes about 60 bytes.
const (
	// maxLimits bounds them in one message.
	maxLimits = 8
	// maxListedLimits bounds them in a list for a daemon that has just started.
	maxListedLimits = 512
	// maxLimitRumors bounds those that wait to be told. Who is not told hears of a limit with the
	// first answer of the back end.
	maxLimitRumors = 1024
)

// Limits is what a Node asks and tells of back ends that take fewer requests.
type Limits = Records[backend.Key, backendlimit.Record]

func limitKey(record backendlimit.Record) backend.Key { return record.Key }

// BroadcastLimit spreads what a back end says of how many requests it takes.
func (n *Node) BroadcastLimit(record backendlimit.Record) {
	tell(n, &n.limits, record, record.Service)
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
	for _, one := range encoded {
		records = append(records, backendlimit.Record{
			Key: backend.Key{Service: one.Service, Backend: one.Backend}, Limit: backendlimit.Limit{Limited: one.Limited, PerSecond: one.PerSecond},
			Started: one.Started, At: time.UnixMilli(one.At),
		})
	}
	return records
}
