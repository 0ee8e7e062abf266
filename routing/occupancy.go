package routing

import "time"

// occupancy holds integrals of the number of requests in flight at a back end, so that the
// difference between two times gives the mean and variance between them.
type occupancy struct {
	at              time.Time
	inFlightSeconds float64 // integral of the number in flight
	squaredSeconds  float64 // integral of the square of the number in flight
}

// advanceOccupancy extends the integrals to now. It is called before the number in flight changes.
func (s *BackendState) advanceOccupancy(now time.Time) {
	if elapsed := now.Sub(s.occupancy.at).Seconds(); !s.occupancy.at.IsZero() && elapsed > 0 {
		inFlight := float64(s.InFlight)
		s.occupancy.inFlightSeconds += inFlight * elapsed
		s.occupancy.squaredSeconds += inFlight * inFlight * elapsed
	}
	s.occupancy.at = now
}

// inFlightStats describes the requests in flight at a back end during one request.
type inFlightStats struct {
	duration time.Duration
	mean     float64 // number in flight, averaged over duration
	variance float64 // of the number in flight
}

// since returns the statistics of a request that began at an earlier occupancy of the same back
// end.
func (o occupancy) since(earlier occupancy) inFlightStats {
	duration := o.at.Sub(earlier.at)
	if duration <= 0 {
		return inFlightStats{}
	}
	mean := (o.inFlightSeconds - earlier.inFlightSeconds) / duration.Seconds()
	return inFlightStats{duration: duration, mean: mean, variance: (o.squaredSeconds-earlier.squaredSeconds)/duration.Seconds() - mean*mean}
}
