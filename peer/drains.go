package peer

import (
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/drain"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// Bounds on gossip about draining back ends. One record takes about 60 bytes.
const (
	maxDrainsPerMessage = 8
	// maxListedDrains bounds the records in the member list for a daemon that has just started: as
	// many back ends as drain while a fleet of 10,000 is replaced.
	maxListedDrains = 10_000
	// maxQueuedDrains bounds the records that wait to be sent. A daemon that misses one learns of
	// the drain with the next response of the back end.
	maxQueuedDrains = 10_000
)

// Drains is the Node's access to the records of draining back ends.
type Drains = Records[drain.SignalKey, drain.Record]

func drainKey(record drain.Record) drain.SignalKey { return record.SignalKey }

// BroadcastDrain sends a record of a back end that is draining, or no longer is, to peers.
func (n *Node) BroadcastDrain(record drain.Record) {
	broadcastRecord(n, &n.drains, record, record.Service)
}

func encodeDrains(records []drain.Record) []*peerpb.Drain {
	encoded := make([]*peerpb.Drain, 0, len(records))
	for _, record := range records {
		encoded = append(encoded, &peerpb.Drain{
			Service: record.Service, Backend: record.Backend, Draining: record.Draining,
			Source: peerpb.DrainSource(record.Source), At: record.At.UnixMilli(), Started: record.Started,
		})
	}
	return encoded
}

func decodeDrains(encoded []*peerpb.Drain) []drain.Record {
	records := make([]drain.Record, 0, len(encoded))
	for _, message := range encoded {
		key := drain.SignalKey{Key: backend.Key{Service: message.Service, Backend: message.Backend}, Source: drain.Source(message.Source)}
		records = append(records, drain.Record{SignalKey: key, Draining: message.Draining, Started: message.Started, At: time.UnixMilli(message.At)})
	}
	return records
}
