package simulation

// faults schedules the scenario's faults.
func (s *simulation) faults() {
	for _, fault := range s.scenario.Faults {
		target := s.workers[fault.Worker]
		s.after(fault.From, func() { target.apply(fault, true) })
		s.after(fault.Until, func() { target.apply(fault, false) })
	}
}

func (w *worker) apply(fault Fault, begins bool) {
	switch fault.Kind {
	case FaultReject:
		w.rejects = begins
	case FaultSlow:
		slow := 1.0
		if begins {
			slow = fault.Factor
		}
		w.setSpeed(w.speed, slow)
	}
}

// exchange lets every deciding daemon tell every other what it has in flight.
func (s *simulation) exchange() {
	s.after(s.system.ExchangeInterval, func() {
		for index, from := range s.nodes {
			counts := make([]int, len(s.workers))
			for number, state := range from.core.Group.States() {
				counts[number] = state.InFlight
			}
			for _, to := range s.nodes {
				if to == from {
					continue
				}
				s.result.PeerMessages++
				s.after(s.wire(from.zone, to.zone), func() { s.told(to, index, counts) })
			}
		}
		s.exchange()
	})
}

func (s *simulation) told(to *node, from int, counts []int) {
	to.told[from] = counts
	for number, one := range s.workers {
		sum := 0
		for _, told := range to.told {
			sum += told[number]
		}
		to.core.Group.SetPeerInFlight(one.id, sum, s.time())
	}
}
