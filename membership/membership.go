package membership

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of the protocol.
const (
	// Period is the time between two exchanges that a daemon begins.
	Period = time.Second
	// suspicionPeriods is how long a member stays suspected, in periods, at
	// the least; it grows with the logarithm of the fleet.
	suspicionPeriods = 3
	// deadKept is how long a dead member is remembered and tried again.
	deadKept = 2 * time.Hour
	// deadTryPeriods is how often a dead member is tried, in periods.
	deadTryPeriods = 10
	// spreadFactor times the logarithm of the fleet is how often a daemon
	// passes one item of news on.
	spreadFactor = 2
	// MaxUpdates bounds the news in one message.
	MaxUpdates = 16
	// syncPerMember is the time between two syncs of the whole list, for each
	// member on it: a sync costs bytes for each member, so that its share of the
	// bytes a second stays the same at every size.
	syncPerMember = 35 * time.Millisecond
	// leastSync is the shortest time between two syncs.
	leastSync = 3 * time.Second
	// firstSync is the time between the first syncs. It doubles after every few, up
	// to the usual time. Daemons that start together know few members at first.
	firstSync        = 100 * time.Millisecond
	syncsPerDoubling = 3
	syncDoublings    = 5
)

// Status is what is believed of a member.
type Status int

// The statuses, in the order in which one overrides another at the same
// incarnation.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// String returns the status's name.
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
	Cores          float64 // processor time of its machine, in cores; 0: it did not tell
	Incarnation    uint64
	Status         Status
}

// Serving says whether requests may be forwarded to the member.
func (m Member) Serving() bool {
	return m.Status == Alive || m.Status == Suspect
}

// entry is a member with its bookkeeping.
type entry struct {
	Member
	changed time.Time
	sent    int // times this news was passed on
}

// State is one daemon's view.
type State struct {
	self    Member
	random  *rand.Rand
	members map[string]*entry
	order   []string // shuffled; the members still to be asked this round
	dead    []string
	periods int
	version uint64
	synced  time.Time
	syncs   int // so far
	digest  uint64
	stale   bool // digest must be reckoned again
	// transitions are those that TakeTransitions has not returned yet.
	transitions []Transition
}

// NewState returns a view that holds only the daemon itself.
func NewState(self Member, random *rand.Rand) *State {
	return &State{self: self, random: random, members: make(map[string]*entry), stale: true}
}

// Self returns the daemon's own entry.
func (s *State) Self() Member {
	return s.self
}

// Version grows whenever a member comes, goes, or changes its status or address.
func (s *State) Version() uint64 {
	return s.version
}

// Members returns every other member known, ordered by name.
func (s *State) Members() []Member {
	members := make([]Member, 0, len(s.members))
	for _, one := range s.members {
		members = append(members, one.Member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// Serving returns the members that take requests, the daemon itself included
// unless it is leaving, ordered by name.
func (s *State) Serving() []Member {
	serving := make([]Member, 0, len(s.members)+1)
	for _, one := range s.members {
		if one.Serving() {
			serving = append(serving, one.Member)
		}
	}
	if s.self.Serving() {
		serving = append(serving, s.self)
	}
	sort.Slice(serving, func(i, j int) bool { return serving[i].Name < serving[j].Name })
	return serving
}

// RecentDeaths returns how many members died within a time, without a word: they may go on out of
// this daemon's sight.
func (s *State) RecentDeaths(now time.Time, within time.Duration) int {
	lost := 0
	for _, one := range s.members {
		if one.Status == Dead && now.Sub(one.changed) <= within {
			lost++
		}
	}
	return lost
}

// Leave marks the daemon as leaving; the next exchanges say so.
func (s *State) Leave() {
	s.self.Status = Left
	s.self.Incarnation++
	s.stale = true
	s.version++
}

// NextPeer returns the member to exchange news with in this period, and false when
// there is none. Every few periods it is a dead one.
func (s *State) NextPeer() (Member, bool) {
	s.periods++
	if s.periods%deadTryPeriods == 0 {
		if member, ok := s.randomDead(); ok {
			return member, true
		}
	}
	for range 2 {
		for len(s.order) > 0 {
			name := s.order[0]
			s.order = s.order[1:]
			if one, ok := s.members[name]; ok && one.Serving() {
				return one.Member, true
			}
		}
		s.shuffle()
	}
	return Member{}, false
}

func (s *State) shuffle() {
	s.order = s.order[:0]
	for _, member := range s.Members() {
		if member.Serving() {
			s.order = append(s.order, member.Name)
		}
	}
	s.random.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
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

// Sample returns up to count serving members other than the excluded one, in
// random order.
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

// Merge takes in the news that another daemon told; it is passed on.
func (s *State) Merge(now time.Time, updates []Member) {
	for _, update := range updates {
		s.merge(now, update)
	}
}

// MergeList takes in the whole list of another daemon. It is hardly news to
// others and is not passed on.
func (s *State) MergeList(now time.Time, members []Member) {
	for _, member := range members {
		if s.merge(now, member) {
			s.members[member.Name].sent = math.MaxInt
		}
	}
}

// merge takes in what is told of one member, and says whether it was news.
func (s *State) merge(now time.Time, update Member) bool {
	if update.Name == "" {
		return false
	}
	if update.Name == s.self.Name {
		s.refute(update)
		return false
	}
	present, known := s.members[update.Name]
	if known && !overrides(update, present.Member) {
		return false
	}
	if !known && !update.Serving() {
		return false // nothing is lost by not knowing of a member that is gone
	}
	if !known || present.Status != update.Status || present.ForwardAddress != update.ForwardAddress || present.Cores != update.Cores {
		s.version++
	}
	before := update.Status
	if known {
		before = present.Status
	}
	s.note(update, before, !known)
	s.members[update.Name] = &entry{Member: update, changed: now}
	s.stale = true
	if !known {
		s.insert(update.Name)
	}
	return true
}

// insert puts a new member at a random place of the present round.
func (s *State) insert(name string) {
	place := s.random.IntN(len(s.order) + 1)
	s.order = append(s.order, "")
	copy(s.order[place+1:], s.order[place:])
	s.order[place] = name
}

// overrides says whether news about a member replaces what is known.
func overrides(update, present Member) bool {
	if update.Incarnation != present.Incarnation {
		return update.Incarnation > present.Incarnation
	}
	return update.Status > present.Status
}

// refute answers news about the daemon itself: while it runs it is alive, with
// a higher incarnation than whoever says otherwise.
func (s *State) refute(update Member) {
	if update.Incarnation < s.self.Incarnation || s.self.Status == Left {
		return
	}
	if update.Status == Alive && update.Incarnation == s.self.Incarnation {
		return
	}
	s.self.Incarnation = update.Incarnation + 1
	s.stale = true
}

// ReceivedFrom notes a message that came straight from a member. A member that is held
// to be suspect or dead is told so with the next message, so that it can refute
// that for everybody with a higher incarnation.
func (s *State) ReceivedFrom(now time.Time, sender Member) {
	s.merge(now, sender)
	present, known := s.members[sender.Name]
	if known && present.Status != Alive && present.Status != Left && present.Incarnation >= sender.Incarnation {
		present.sent, present.changed = 0, now
	}
}

// Digest is the same for two daemons that know the same members in the same
// incarnations, whether they serve or not counted.
func (s *State) Digest() uint64 {
	if !s.stale {
		return s.digest
	}
	s.digest = digestOf(s.self)
	for _, one := range s.members {
		if one.Serving() {
			s.digest ^= digestOf(one.Member)
		}
	}
	s.stale = false
	return s.digest
}

func digestOf(m Member) uint64 {
	return xxhash.Sum64String(m.Name + "\x00" + strconv.FormatUint(m.Incarnation, 16))
}

// SyncDue says whether the whole list should be asked of a daemon whose digest
// differs, and notes that it is. News that is passed on a bounded number of times
// may miss a daemon; this is what then closes the gap.
func (s *State) SyncDue(now time.Time, digest uint64) bool {
	wait := max(leastSync, time.Duration(len(s.members))*syncPerMember)
	if doublings := s.syncs / syncsPerDoubling; doublings < syncDoublings {
		wait = min(wait, firstSync<<doublings)
	}
	if digest == s.Digest() || now.Sub(s.synced) < wait {
		return false
	}
	s.synced = now
	s.syncs++
	return true
}

// MarkUnreachable notes that a member answered neither directly nor through others.
func (s *State) MarkUnreachable(now time.Time, name string) {
	present, known := s.members[name]
	if !known || present.Status != Alive {
		return
	}
	present.Status, present.changed, present.sent = Suspect, now, 0
	s.note(present.Member, Alive, false)
	s.version++
}

// Tick declares suspects dead whose time is over, and forgets what is long dead.
func (s *State) Tick(now time.Time) {
	timeout := s.suspicionTimeout()
	for name, one := range s.members {
		age := now.Sub(one.changed)
		switch {
		case one.Status == Suspect && age >= timeout:
			one.Status, one.changed, one.sent = Dead, now, 0
			s.version++
			s.stale = true
			s.note(one.Member, Suspect, false)
		case !one.Serving() && age >= deadKept:
			delete(s.members, name)
		}
	}
}

func (s *State) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(s.members)+1)))
	return time.Duration(suspicionPeriods * scale * float64(Period))
}

// Updates returns the news to put into the next message: what was passed on the
// fewest times first, each item a bounded number of times. What was just heard
// comes first among equals.
func (s *State) Updates() []Member {
	limit := int(math.Ceil(spreadFactor * math.Log2(float64(len(s.members)+2))))
	var fresh []*entry
	for _, one := range s.members {
		if one.sent < limit {
			fresh = append(fresh, one)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		a, b := fresh[i], fresh[j]
		if a.sent != b.sent {
			return a.sent < b.sent
		}
		if !a.changed.Equal(b.changed) {
			return a.changed.After(b.changed)
		}
		return a.Name < b.Name
	})
	var updates []Member
	for _, one := range fresh[:min(len(fresh), MaxUpdates)] {
		one.sent++
		updates = append(updates, one.Member)
	}
	return updates
}
