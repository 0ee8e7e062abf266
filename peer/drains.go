package peer

import (
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/drain"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// Bounds of what is told of back ends that are leaving; one takes about 60 bytes.
const (
	// maxDrains bounds them in one message.
	maxDrains = 8
	// maxListedDrains bounds them in a list for a daemon that has just started: as many as back ends leave while a
	// fleet of 10,000 is replaced.
	maxListedDrains = 10_000
	// maxDrainRumors bounds those that wait to be told. Who is not told hears of it with the first answer of the
	// back end.
	maxDrainRumors = 10_000
)

// Drains is what a Node asks and tells of back ends that are leaving.
type Drains = Records[drain.SignalKey, drain.Record]

func drainKey(record drain.Record) drain.SignalKey { return record.SignalKey }

// BroadcastDrain spreads that a back end is leaving, or is back.
func (n *Node) BroadcastDrain(record drain.Record) {
	tell(n, &n.drains, record, record.Service)
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
	for _, one := range encoded {
		key := drain.SignalKey{Key: backend.Key{Service: one.Service, Backend: one.Backend}, Source: drain.Source(one.Source)}
		records = append(records, drain.Record{SignalKey: key, Draining: one.Draining, Started: one.Started, At: time.UnixMilli(one.At)})
	}
	return records
}
