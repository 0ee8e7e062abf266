package peer

import (
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/membership"
)

// View is an immutable picture of the members that take requests.
type View struct {
	Serving []membership.Member // alive ones of every region, this daemon included
	self    string
	region  []membership.Member
	// dispatchers are those of the region that dispatchers are chosen among.
	dispatchers []membership.Member
	forming     bool     // those are the seeds
	cache       sync.Map // service name to membership.Member
}

// refreshView makes a new View. The caller holds the mutex or is alone.
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
	view.dispatchers, view.forming = n.forming.choose(time.Now(), view.region)
	if !view.forming {
		view.dispatchers = membership.HighCapacity(view.region)
	}
	n.view.Store(view)
}

// refreshDispatchers makes a new View, as time has passed.
func (n *Node) refreshDispatchers() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.refreshView()
}

// View returns the present picture of the members.
func (n *Node) View() *View {
	return n.view.Load()
}

// DispatcherOf returns the daemon that dispatches a service in this region, and
// false when it is this one. It does not block.
func (n *Node) DispatcherOf(name string) (member membership.Member, other bool) {
	view := n.View()
	if cached, ok := view.cache.Load(name); ok {
		member = cached.(membership.Member)
		return member, member.Name != view.self
	}
	chosen := membership.Choose(view.dispatchers, dispatchDuty+name, 1)
	if len(chosen) == 0 {
		return membership.Member{}, false
	}
	view.cache.Store(name, chosen[0])
	n.noteDispatcher(name, chosen[0])
	return chosen[0], chosen[0].Name != view.self
}

// DispatchersOf returns the daemons that dispatch any of the services in any region, without
// this one, and whether this one does. It does not block.
func (n *Node) DispatchersOf(names []string) (others []membership.Member, self bool) {
	view := n.View()
	regions := make(map[string][]membership.Member)
	for _, member := range view.Serving {
		regions[member.Region] = append(regions[member.Region], member)
	}
	regions[n.options.Self.Region] = view.dispatchers
	chosen := make(map[string]bool)
	for _, members := range regions {
		members = membership.HighCapacity(members)
		for _, name := range names {
			for _, member := range membership.Choose(members, dispatchDuty+name, 1) {
				if member.Name != view.self && !chosen[member.Name] {
					others = append(others, member)
				}
				chosen[member.Name] = true
			}
		}
	}
	return others, chosen[view.self]
}

// FleetSize returns how many daemons are taken for alive, this one included, and how many may be:
// with those that were lost within a time.
func (n *Node) FleetSize(within time.Duration) (alive, all int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	alive = len(n.state.Serving())
	return alive, alive + n.state.RecentDeaths(time.Now(), within)
}

// LastContact returns when any other daemon was heard last; when this one was made, if none was.
func (n *Node) LastContact() time.Time {
	return *n.heard.Load()
}

// dispatchDuty and the name of a service is by what its dispatcher is chosen.
const dispatchDuty = "dispatch/"

// Forming says whether dispatchers are chosen among the seeds for a moment, as all
// daemons have just started.
func (n *Node) Forming() bool {
	return n.View().forming
}

// RegionSize returns how many daemons of the region are alive, this one included.
func (n *Node) RegionSize() int {
	return len(n.View().region)
}

// holders returns the count members of the region that are chosen for a duty, or all
// with a count of 0.
func (v *View) holders(duty string, count int) []membership.Member {
	if count <= 0 {
		return v.region
	}
	return membership.Choose(v.region, duty, count)
}

// IsChosen says whether this daemon is among the count daemons of its region that
// are chosen for a duty.
func (n *Node) IsChosen(duty string, count int) bool {
	_, _, chosen := n.Rank(duty, count)
	return chosen
}

// Rank returns this daemon's place, from 0, among the count daemons of its region
// that are chosen for a duty, and their number. With a count of 0 all are chosen.
func (n *Node) Rank(duty string, count int) (place, of int, chosen bool) {
	view := n.View()
	holders := view.holders(duty, count)
	for place, member := range holders {
		if member.Name == view.self {
			return place, len(holders), true
		}
	}
	return 0, len(holders), count == 0
}
