package recent

import "time"

// CountPeriod is the period over which a Count measures.
const CountPeriod = time.Second

// Count counts events in the current and the previous period. The zero value has no events.
type Count struct {
	start             time.Time
	current, previous int
}

// Add counts an event.
func (c *Count) Add(now time.Time) {
	c.advance(now)
	c.current++
}

// PerSecond returns the events within the last CountPeriod. Events of the previous period count in
// proportion to the part of it that is still within that time.
func (c *Count) PerSecond(now time.Time) float64 {
	c.advance(now)
	fraction := 1 - now.Sub(c.start).Seconds()/CountPeriod.Seconds()
	return float64(c.current) + fraction*float64(c.previous)
}

func (c *Count) advance(now time.Time) {
	elapsed := now.Sub(c.start)
	switch {
	case elapsed < CountPeriod:
		return
	case elapsed < 2*CountPeriod:
		c.previous, c.start = c.current, c.start.Add(CountPeriod)
	default:
		c.previous, c.start = 0, now
	}
	c.current = 0
}
