package backendlimit

import "time"

// rejoinThreshold is the relative growth of the reachable share from which on daemons count as found again after a
// network partition. Of two or three daemons among hundreds, none can have sent more than a request or so.
const rejoinThreshold = 0.1

// silenceTimeout is how long after the last message of any member a daemon may have been cut off or frozen, even if
// it still believes the members to be alive: they may be sending independently meanwhile. Members send something once
// a second.
const silenceTimeout = 2 * time.Second

// Shares are the shares of the back ends' limits that may be used by the daemons which one daemon can reach.
type Shares struct {
	// Reachable is the share of the daemons that it believes to be alive, among all that may be.
	Reachable float64
	// Region is the share of the daemons of its own region, among those that it believes to be alive: each region
	// has its own dispatcher.
	Region float64
	// PartitionedUntil is when it last found daemons again that it had lost or not heard from, and that may have sent
	// requests independently; zero: never.
	PartitionedUntil time.Time

	// minReachable is the smallest value of Reachable since then.
	minReachable float64
}

// FullShares are the shares of daemons that all reach each other, in one region.
var FullShares = Shares{Reachable: 1, Region: 1}

// Next returns the shares updated with the number of daemons that are alive, that may exist in all, and that are alive
// in the own region, and with the time of the last message from any of them.
func (s Shares) Next(now time.Time, alive, all, region int, heard time.Time) Shares {
	alive, all, region = max(alive, 1), max(all, 1), max(region, 1)
	next := Shares{
		Reachable: float64(alive) / float64(all), Region: min(float64(region)/float64(alive), 1),
		PartitionedUntil: s.PartitionedUntil, minReachable: s.minReachable,
	}
	switch {
	case next.minReachable == 0 || next.Reachable < next.minReachable:
		next.minReachable = next.Reachable
	case next.Reachable > (1+rejoinThreshold)*next.minReachable:
		next.PartitionedUntil, next.minReachable = now, next.Reachable
	}
	if alive > 1 && now.Sub(heard) >= silenceTimeout {
		next.PartitionedUntil = now
	}
	return next
}
