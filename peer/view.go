package peer

import (
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/membership"
)

// View is an immutable snapshot of the members that take requests.
type View struct {
	Serving []membership.Member // alive members of every region, including this daemon
	self    string
	region  []membership.Member
	// dispatcherCandidates are the members of the region among which dispatchers are chosen.
	dispatcherCandidates []membership.Member
	forming              bool     // the candidates are the seeds
	dispatcherCache      sync.Map // service name to membership.Member
}

// refreshView rebuilds the View. The caller holds the mutex or is the constructor.
func (n *Node) refreshView() {
	view := &View{self: n.options.Self.Name}
	for _, member := range n.state.Serving() {
		if member.Status != membership.Alive {
			continue
		}
		view.Serving = append(view.Serving, member)
		if member.Region == n.options.Self.Region {
			view.region = append(view.region, member)
		}
	}
	view.dispatcherCandidates, view.forming = n.forming.dispatcherCandidates(time.Now(), view.region)
	if !view.forming {
		view.dispatcherCandidates = membership.HighCapacity(view.region)
	}
	n.view.Store(view)
}

// refreshDispatchers rebuilds the View once dispatchers are no longer chosen among the seeds.
func (n *Node) refreshDispatchers() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.refreshView()
}

// View returns the current view of the members.
func (n *Node) View() *View {
	return n.view.Load()
}

// DispatcherOf returns the dispatcher of a service in this region, and false if it is this daemon.
// It does not block.
func (n *Node) DispatcherOf(name string) (member membership.Member, other bool) {
	view := n.View()
	if cached, ok := view.dispatcherCache.Load(name); ok {
		member = cached.(membership.Member)
		return member, member.Name != view.self
	}
	chosen := membership.Choose(view.dispatcherCandidates, dispatcherKeyPrefix+name, 1)
	if len(chosen) == 0 {
		return membership.Member{}, false
	}
	view.dispatcherCache.Store(name, chosen[0])
	n.recordDispatcher(name, chosen[0])
	return chosen[0], chosen[0].Name != view.self
}

// DispatchersOf returns the dispatchers of any of the services in any region, without this daemon,
// and whether this daemon is one. It does not block.
func (n *Node) DispatchersOf(names []string) (others []membership.Member, self bool) {
	view := n.View()
	regions := make(map[string][]membership.Member)
	for _, member := range view.Serving {
		regions[member.Region] = append(regions[member.Region], member)
	}
	regions[n.options.Self.Region] = view.dispatcherCandidates
	chosen := make(map[string]bool)
	for _, members := range regions {
		members = membership.HighCapacity(members)
		for _, name := range names {
			for _, member := range membership.Choose(members, dispatcherKeyPrefix+name, 1) {
				if member.Name != view.self && !chosen[member.Name] {
					others = append(others, member)
				}
				chosen[member.Name] = true
			}
		}
	}
	return others, chosen[view.self]
}

// FleetSize returns how many daemons are considered alive, including this one, and how many may be
// alive: including those declared dead within the given time.
func (n *Node) FleetSize(within time.Duration) (alive, all int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	alive = len(n.state.Serving())
	return alive, alive + n.state.RecentDeaths(time.Now(), within)
}

// LastContact returns when any other daemon was last heard from, or when this node was created if
// none was.
func (n *Node) LastContact() time.Time {
	return *n.lastContact.Load()
}

// dispatcherKeyPrefix and the name of a service form the rendezvous hashing key that selects its
// dispatcher.
const dispatcherKeyPrefix = "dispatch/"

// Forming reports whether dispatchers are currently chosen among the seeds, as all daemons have
// just started.
func (n *Node) Forming() bool {
	return n.View().forming
}

// RegionSize returns how many daemons of the region are alive, including this one.
func (n *Node) RegionSize() int {
	return len(n.View().region)
}

// chosenMembers returns the count members of the region selected for a key, or all with a count of
// 0.
func (v *View) chosenMembers(key string, count int) []membership.Member {
	if count <= 0 {
		return v.region
	}
	return membership.Choose(v.region, key, count)
}

// IsChosen reports whether this daemon is among the count daemons of its region selected for a
// key.
func (n *Node) IsChosen(key string, count int) bool {
	_, _, chosen := n.Rank(key, count)
	return chosen
}

// Rank returns this daemon's rank, from 0, among the count daemons of its region selected for a
// key, and how many were selected. With a count of 0 all are selected.
func (n *Node) Rank(key string, count int) (rank, total int, chosen bool) {
	view := n.View()
	chosenMembers := view.chosenMembers(key, count)
	for index, member := range chosenMembers {
		if member.Name == view.self {
			return index, len(chosenMembers), true
		}
	}
	return 0, len(chosenMembers), count == 0
}
