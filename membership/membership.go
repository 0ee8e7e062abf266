package membership

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing and limits of the protocol.
const (
	// Period is the time between two exchanges that a daemon starts.
	Period = time.Second
	// suspicionPeriods is the minimum time that a member stays suspected, in periods; the time
	// grows with the logarithm of the fleet size.
	suspicionPeriods = 3
	// deadRetention is how long a dead member is kept and contacted again.
	deadRetention = 2 * time.Hour
	// deadContactPeriods is how often a dead member is contacted, in periods.
	deadContactPeriods = 10
	// retransmitFactor times the logarithm of the fleet size is how often a daemon sends one update.
	retransmitFactor = 2
	// MaxUpdates limits the updates in one message.
	MaxUpdates = 16
	// syncIntervalPerMember is the time between two full syncs, per known member: the size of a sync is
	// proportional to the number of members, so its bytes per second are the same for every fleet size.
	syncIntervalPerMember = 35 * time.Millisecond
	// minSyncInterval is the minimum time between two full syncs.
	minSyncInterval = 3 * time.Second
	// initialSyncInterval is the time between the first full syncs. It doubles after every syncsPerDoubling
	// syncs, up to the usual time. Daemons that start together know few members at first.
	initialSyncInterval = 100 * time.Millisecond
	syncsPerDoubling    = 3
	syncDoublings       = 5
)

// Status is the status of a member as one daemon sees it.
type Status int

// Statuses, ordered: with equal incarnations, the higher one overrides the lower one.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "left"
}

// Member is one daemon.
type Member struct {
	Name           string
	Region         string
	Zone           string
	PeerAddress    string
	ForwardAddress string
	Cores          float64 // processor time of its machine, in cores; 0: not reported
	Incarnation    uint64
	Status         Status
}

// Serving reports whether requests may be forwarded to the member.
func (m Member) Serving() bool {
	return m.Status == Alive || m.Status == Suspect
}

// entry is a member with the state of its dissemination.
type entry struct {
	Member
	changed time.Time
	sent    int // how often this update was sent
}

// State is one daemon's view of the fleet.
type State struct {
	self        Member
	random      *rand.Rand
	members     map[string]*entry
	round       []string // shuffled; members to contact in the current round
	dead        []string
	periods     int
	version     uint64
	lastSync    time.Time
	syncs       int // number of full syncs so far
	digest      uint64
	digestStale bool // digest must be computed again
	// transitions are those that TakeTransitions has not returned yet.
	transitions []Transition
}

// NewState returns a view that contains only the daemon itself.
func NewState(self Member, random *rand.Rand) *State {
	return &State{self: self, random: random, members: make(map[string]*entry), digestStale: true}
}

// Self returns the daemon's own entry.
func (s *State) Self() Member {
	return s.self
}

// Version increases whenever a member is added or changes its status, forward address or cores.
func (s *State) Version() uint64 {
	return s.version
}

// Members returns all other known members, ordered by name.
func (s *State) Members() []Member {
	members := make([]Member, 0, len(s.members))
	for _, member := range s.members {
		members = append(members, member.Member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// Serving returns the serving members, including the daemon itself unless it is leaving, ordered
// by name.
func (s *State) Serving() []Member {
	serving := make([]Member, 0, len(s.members)+1)
	for _, member := range s.members {
		if member.Serving() {
			serving = append(serving, member.Member)
		}
	}
	if s.self.Serving() {
		serving = append(serving, s.self)
	}
	sort.Slice(serving, func(i, j int) bool { return serving[i].Name < serving[j].Name })
	return serving
}

// RecentDeaths returns how many members were declared dead within the given time. They did not
// announce that they were leaving, so they may still run behind a network partition.
func (s *State) RecentDeaths(now time.Time, within time.Duration) int {
	lost := 0
	for _, member := range s.members {
		if member.Status == Dead && now.Sub(member.changed) <= within {
			lost++
		}
	}
	return lost
}

// Leave marks the daemon as leaving, which the next exchanges announce.
func (s *State) Leave() {
	s.self.Status = Left
	s.self.Incarnation++
	s.digestStale = true
	s.version++
}

// NextPeer returns the member to exchange updates with in this period, and false if there is none.
// Every deadContactPeriods periods it is a dead member, if there is one.
func (s *State) NextPeer() (Member, bool) {
	s.periods++
	if s.periods%deadContactPeriods == 0 {
		if member, ok := s.randomDead(); ok {
			return member, true
		}
	}
	for range 2 {
		for len(s.round) > 0 {
			name := s.round[0]
			s.round = s.round[1:]
			if member, ok := s.members[name]; ok && member.Serving() {
				return member.Member, true
			}
		}
		s.shuffle()
	}
	return Member{}, false
}

func (s *State) shuffle() {
	s.round = s.round[:0]
	for _, member := range s.Members() {
		if member.Serving() {
			s.round = append(s.round, member.Name)
		}
	}
	s.random.Shuffle(len(s.round), func(i, j int) { s.round[i], s.round[j] = s.round[j], s.round[i] })
}

func (s *State) randomDead() (Member, bool) {
	s.dead = s.dead[:0]
	for _, member := range s.Members() {
		if member.Status == Dead {
			s.dead = append(s.dead, member.Name)
		}
	}
	if len(s.dead) == 0 {
		return Member{}, false
	}
	return s.members[s.dead[s.random.IntN(len(s.dead))]].Member, true
}

// Sample returns up to count alive members other than the excluded one, in random order.
func (s *State) Sample(count int, exclude string) []Member {
	var serving []Member
	for _, member := range s.Members() {
		if member.Status == Alive && member.Name != exclude {
			serving = append(serving, member)
		}
	}
	s.random.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	return serving[:min(count, len(serving))]
}

// Merge merges updates from a peer; those that change the view are passed on.
func (s *State) Merge(now time.Time, updates []Member) {
	for _, update := range updates {
		s.merge(now, update)
	}
}

// MergeList merges the full list of a peer. Most peers know its contents already, so it is not
// passed on.
func (s *State) MergeList(now time.Time, members []Member) {
	for _, member := range members {
		if s.merge(now, member) {
			s.members[member.Name].sent = math.MaxInt
		}
	}
}

// merge merges an update about one member, and reports whether it changed the view.
func (s *State) merge(now time.Time, update Member) bool {
	if update.Name == "" {
		return false
	}
	if update.Name == s.self.Name {
		s.refute(update)
		return false
	}
	current, found := s.members[update.Name]
	if found && !overrides(update, current.Member) {
		return false
	}
	if !found && !update.Serving() {
		return false // a member that is gone need not be added
	}
	if !found || current.Status != update.Status || current.ForwardAddress != update.ForwardAddress || current.Cores != update.Cores {
		s.version++
	}
	before := update.Status
	if found {
		before = current.Status
	}
	s.recordTransition(update, before, !found)
	s.members[update.Name] = &entry{Member: update, changed: now}
	s.digestStale = true
	if !found {
		s.insert(update.Name)
	}
	return true
}

// insert puts a new member at a random place in the current round.
func (s *State) insert(name string) {
	position := s.random.IntN(len(s.round) + 1)
	s.round = append(s.round, "")
	copy(s.round[position+1:], s.round[position:])
	s.round[position] = name
}

// overrides reports whether an update about a member replaces its current entry.
func overrides(update, current Member) bool {
	if update.Incarnation != current.Incarnation {
		return update.Incarnation > current.Incarnation
	}
	return update.Status > current.Status
}

// refute answers an update about the daemon itself that does not match: it increases the daemon's
// incarnation above that of the update.
func (s *State) refute(update Member) {
	if update.Incarnation < s.self.Incarnation || s.self.Status == Left {
		return
	}
	if update.Status == Alive && update.Incarnation == s.self.Incarnation {
		return
	}
	s.self.Incarnation = update.Incarnation + 1
	s.digestStale = true
}

// ReceivedFrom records a message received directly from a member. If the member is suspect or dead,
// the next message tells it so, and it can refute that for the whole fleet with a higher
// incarnation.
func (s *State) ReceivedFrom(now time.Time, sender Member) {
	s.merge(now, sender)
	current, found := s.members[sender.Name]
	if found && current.Status != Alive && current.Status != Left && current.Incarnation >= sender.Incarnation {
		current.sent, current.changed = 0, now
	}
}

// Digest is a hash of the names and incarnations of the daemon itself and the serving members.
func (s *State) Digest() uint64 {
	if !s.digestStale {
		return s.digest
	}
	s.digest = digestOf(s.self)
	for _, member := range s.members {
		if member.Serving() {
			s.digest ^= digestOf(member.Member)
		}
	}
	s.digestStale = false
	return s.digest
}

func digestOf(m Member) uint64 {
	return xxhash.Sum64String(m.Name + "\x00" + strconv.FormatUint(m.Incarnation, 16))
}

// SyncDue reports whether to request the full list from a peer whose digest differs, and if so
// records the sync. Updates are sent a limited number of times and may miss a daemon; the full sync
// makes up for that.
func (s *State) SyncDue(now time.Time, digest uint64) bool {
	wait := max(minSyncInterval, time.Duration(len(s.members))*syncIntervalPerMember)
	if doublings := s.syncs / syncsPerDoubling; doublings < syncDoublings {
		wait = min(wait, initialSyncInterval<<doublings)
	}
	if digest == s.Digest() || now.Sub(s.lastSync) < wait {
		return false
	}
	s.lastSync = now
	s.syncs++
	return true
}

// MarkUnreachable marks a member suspect that answered neither directly nor through other members.
func (s *State) MarkUnreachable(now time.Time, name string) {
	current, found := s.members[name]
	if !found || current.Status != Alive {
		return
	}
	current.Status, current.changed, current.sent = Suspect, now, 0
	s.recordTransition(current.Member, Alive, false)
	s.version++
}

// Tick declares suspects dead after the suspicion timeout, and removes members that are long dead.
func (s *State) Tick(now time.Time) {
	timeout := s.suspicionTimeout()
	for name, member := range s.members {
		age := now.Sub(member.changed)
		switch {
		case member.Status == Suspect && age >= timeout:
			member.Status, member.changed, member.sent = Dead, now, 0
			s.version++
			s.digestStale = true
			s.recordTransition(member.Member, Suspect, false)
		case !member.Serving() && age >= deadRetention:
			delete(s.members, name)
		}
	}
}

func (s *State) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(s.members)+1)))
	return time.Duration(suspicionPeriods * scale * float64(Period))
}

// Updates returns the updates for the next message: those sent the fewest times first, and the most
// recent first among these. Each update is sent a limited number of times.
func (s *State) Updates() []Member {
	limit := int(math.Ceil(retransmitFactor * math.Log2(float64(len(s.members)+2))))
	var pending []*entry
	for _, member := range s.members {
		if member.sent < limit {
			pending = append(pending, member)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		a, b := pending[i], pending[j]
		if a.sent != b.sent {
			return a.sent < b.sent
		}
		if !a.changed.Equal(b.changed) {
			return a.changed.After(b.changed)
		}
		return a.Name < b.Name
	})
	var updates []Member
	for _, member := range pending[:min(len(pending), MaxUpdates)] {
		member.sent++
		updates = append(updates, member.Member)
	}
	return updates
}
