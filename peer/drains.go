package peer

import (
	"math"
	"sort"
	"time"

	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/service"
)

// maxDrains bounds the drains in one message.
const maxDrains = 8

// spreadFactor times the logarithm of the fleet is how often one drain is
// passed on.
const spreadFactor = 3

type drainID struct {
	service, backend string
	source           service.DrainSource
}

type drainEntry struct {
	Drain
	sent int
}

// drainTable holds the newest word on each back end. It is not safe for
// concurrent use.
type drainTable struct {
	entries map[drainID]*drainEntry
}

func newDrainTable() drainTable {
	return drainTable{entries: make(map[drainID]*drainEntry)}
}

// add takes in a drain and says whether it is newer than what was known.
func (t *drainTable) add(drain Drain) bool {
	id := drainID{service: drain.Service, backend: drain.Backend, source: drain.Source}
	present, known := t.entries[id]
	if known && !drain.At.After(present.At) {
		return false
	}
	t.entries[id] = &drainEntry{Drain: drain}
	return !known || present.Draining != drain.Draining
}

// take takes in the drains of a message and returns those that are news.
func (t *drainTable) take(drains []*peerpb.Drain) []Drain {
	var news []Drain
	for _, told := range drains {
		drain := Drain{
			Service: told.Service, Backend: told.Backend, Draining: told.Draining,
			Source: service.DrainSource(told.Source), At: time.UnixMilli(told.At),
		}
		if t.add(drain) {
			news = append(news, drain)
		}
	}
	return news
}

// news returns the drains to put into the next message: what was passed on the
// fewest times, each a number of times bounded by the fleet's logarithm.
func (t *drainTable) news(fleet int) []*peerpb.Drain {
	limit := int(math.Ceil(spreadFactor * math.Log2(float64(fleet+2))))
	var fresh []*drainEntry
	for _, entry := range t.entries {
		if entry.sent < limit {
			fresh = append(fresh, entry)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if fresh[i].sent != fresh[j].sent {
			return fresh[i].sent < fresh[j].sent
		}
		return fresh[i].At.After(fresh[j].At)
	})
	var chosen []*peerpb.Drain
	for _, entry := range fresh[:min(len(fresh), maxDrains)] {
		entry.sent++
		chosen = append(chosen, encodeDrain(entry.Drain))
	}
	return chosen
}

// draining returns every back end that is leaving.
func (t *drainTable) draining() []Drain {
	var leaving []Drain
	for _, entry := range t.entries {
		if entry.Draining {
			leaving = append(leaving, entry.Drain)
		}
	}
	return leaving
}

func encodeDrains(drains []Drain) []*peerpb.Drain {
	encoded := make([]*peerpb.Drain, 0, len(drains))
	for _, drain := range drains {
		encoded = append(encoded, encodeDrain(drain))
	}
	return encoded
}

func encodeDrain(drain Drain) *peerpb.Drain {
	return &peerpb.Drain{
		Service: drain.Service, Backend: drain.Backend, Draining: drain.Draining,
		Source: peerpb.DrainSource(drain.Source), At: drain.At.UnixMilli(),
	}
}
