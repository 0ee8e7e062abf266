package membership

// Transition is a change of a member's status as this daemon sees it.
type Transition struct {
	Member Member
	// Before is the previous status; it has no meaning if New.
	Before Status
	New    bool // the member was not known before
}

// recordTransition records a transition for TakeTransitions, if the status changed.
func (s *State) recordTransition(member Member, before Status, isNew bool) {
	if isNew || before != member.Status {
		s.transitions = append(s.transitions, Transition{Member: member, Before: before, New: isNew})
	}
}

// TakeTransitions returns the transitions since the last call, in order.
func (s *State) TakeTransitions() []Transition {
	transitions := s.transitions
	s.transitions = nil
	return transitions
}
