package routing

import "time"

// occupancy sums up what was in flight at a back end, so that the difference between two
// moments tells what a request met between them.
type occupancy struct {
	at       time.Time
	requests float64 // requests in flight, times seconds
	squares  float64 // the same of their squares
}

// pass brings the occupancy up to now. It is called before what is in flight changes.
func (s *BackendState) pass(now time.Time) {
	if passed := now.Sub(s.occupancy.at).Seconds(); !s.occupancy.at.IsZero() && passed > 0 {
		inFlight := float64(s.InFlight)
		s.occupancy.requests += inFlight * passed
		s.occupancy.squares += inFlight * inFlight * passed
	}
	s.occupancy.at = now
}

// met is what a request met at a back end.
type met struct {
	taken    time.Duration
	inFlight float64 // on average
	variance float64 // of what was in flight
}

// since returns what a request met that began at an earlier occupancy of the same back
// end.
func (o occupancy) since(begun occupancy) met {
	taken := o.at.Sub(begun.at)
	if taken <= 0 {
		return met{}
	}
	mean := (o.requests - begun.requests) / taken.Seconds()
	return met{taken: taken, inFlight: mean, variance: (o.squares-begun.squares)/taken.Seconds() - mean*mean}
}
