package membership

// Transition is a change of what is believed of a member.
type Transition struct {
	Member Member
	// Before is what was believed; meaningless where New.
	Before Status
	New    bool // the member was not known
}

// note keeps a transition for TakeTransitions.
func (s *State) note(member Member, before Status, isNew bool) {
	if isNew || before != member.Status {
		s.transitions = append(s.transitions, Transition{Member: member, Before: before, New: isNew})
	}
}

// TakeTransitions returns what has changed since it was last called, in order.
func (s *State) TakeTransitions() []Transition {
	taken := s.transitions
	s.transitions = nil
	return taken
}
