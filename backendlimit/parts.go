package backendlimit

import "time"

// joined is by which part what a daemon reaches must grow to count as daemons found again: a cut that has
// healed. Of two or three of hundreds none can have sent more than a request or so.
const joined = 0.1

// silence is after how long without a word of any member a daemon may have been cut off or frozen, though it takes them for
// alive: others may send by themselves meanwhile. Members tell something once a second.
const silence = 2 * time.Second

// Shares are which parts of what back ends take the daemons may use that one daemon can reach.
type Shares struct {
	// Reachable is for the daemons that it takes for alive, of all that may be.
	Reachable float64
	// Region is for those of its own region, of those that it takes for alive: each region has a
	// dispatcher of its own.
	Region float64
	// PartitionedUntil is when it last found daemons again that it had lost or not heard, which may have sent by themselves; zero:
	// it never has.
	PartitionedUntil time.Time

	// least is the smallest that Reached was since then.
	least float64
}

// FullShares are the parts of daemons that reach all others, in one region.
var FullShares = Shares{Reachable: 1, Region: 1}

// Next reckons the parts anew: so many daemons are alive, of all that may be, so many of those are of
// the own region, and the last of them was heard at a time.
func (p Shares) Next(now time.Time, alive, all, region int, heard time.Time) Shares {
	alive, all, region = max(alive, 1), max(all, 1), max(region, 1)
	next := Shares{
		Reachable: float64(alive) / float64(all), Region: min(float64(region)/float64(alive), 1),
		PartitionedUntil: p.PartitionedUntil, least: p.least,
	}
	switch {
	case next.least == 0 || next.Reachable < next.least:
		next.least = next.Reachable
	case next.Reachable > (1+joined)*next.least:
		next.PartitionedUntil, next.least = now, next.Reachable
	}
	if alive > 1 && now.Sub(heard) >= silence {
		next.PartitionedUntil = now
	}
	return next
}
