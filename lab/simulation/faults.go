package simulation

// scheduleFaults schedules the start and end of the scenario's faults.
func (s *simulation) scheduleFaults() {
	for _, fault := range s.scenario.Faults {
		target := s.workers[fault.Worker]
		s.after(fault.From, func() { target.applyFault(fault, true) })
		s.after(fault.Until, func() { target.applyFault(fault, false) })
	}
}

func (w *worker) applyFault(fault Fault, active bool) {
	switch fault.Kind {
	case FaultReject:
		w.rejectsAll = active
	case FaultSlow:
		factor := 1.0
		if active {
			factor = fault.Factor
		}
		w.setSpeed(w.speed, factor)
	}
}

// scheduleExchange makes every decider periodically send its requests in flight to all
// others.
func (s *simulation) scheduleExchange() {
	s.after(s.system.ExchangeInterval, func() {
		for index, from := range s.deciders {
			counts := make([]int, len(s.workers))
			for number, state := range from.core.Group.States() {
				counts[number] = state.InFlight
			}
			for _, to := range s.deciders {
				if to == from {
					continue
				}
				s.result.PeerMessages++
				s.after(s.messageDelay(from.zone, to.zone), func() { s.receiveInFlight(to, index, counts) })
			}
		}
		s.scheduleExchange()
	})
}

// receiveInFlight stores the requests in flight of a peer and updates the sums over all
// peers.
func (s *simulation) receiveInFlight(to *decider, from int, counts []int) {
	to.peerInFlight[from] = counts
	for number, backend := range s.workers {
		sum := 0
		for _, inFlight := range to.peerInFlight {
			sum += inFlight[number]
		}
		to.core.Group.SetPeerInFlight(backend.id, sum, s.time())
	}
}
