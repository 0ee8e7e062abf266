package routing

import "time"

// occupancy sums up what was in flight at a back end, so that the difference between two
// moments tells what a request met between them.
type occupancy struct {
	at              time.Time
	inFlightSeconds float64 // requests in flight, times seconds
	squaredSeconds  float64 // the same of their squares
}

// pass brings the occupancy up to now. It is called before what is in flight changes.
func (s *BackendState) advanceOccupancy(now time.Time) {
	if elapsed := now.Sub(s.occupancy.at).Seconds(); !s.occupancy.at.IsZero() && elapsed > 0 {
		inFlight := float64(s.InFlight)
		s.occupancy.inFlightSeconds += inFlight * elapsed
		s.occupancy.squaredSeconds += inFlight * inFlight * elapsed
	}
	s.occupancy.at = now
}

// met is what a request met at a back end.
type inFlightStats struct {
	duration time.Duration
	mean     float64 // on average
	variance float64 // of what was in flight
}

// since returns what a request met that began at an earlier occupancy of the same back
// end.
func (o occupancy) since(earlier occupancy) inFlightStats {
	duration := o.at.Sub(earlier.at)
	if duration <= 0 {
		return inFlightStats{}
	}
	mean := (o.inFlightSeconds - earlier.inFlightSeconds) / duration.Seconds()
	return inFlightStats{duration: duration, mean: mean, variance: (o.squaredSeconds-earlier.squaredSeconds)/duration.Seconds() - mean*mean}
}
