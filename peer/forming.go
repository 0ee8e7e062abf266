package peer

import (
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/membership"
)

// minFormingFleet is how many members must be known before dispatchers are chosen among the seeds.
// The members of a smaller fleet know each other as soon as they have queried one seed.
const minFormingFleet = 7

// formingDuration is how long after its start a daemon counts as forming. Daemons that start
// together know each other by then.
const formingDuration = 1200 * time.Millisecond

// seedDispatchDuration is how long after a common start dispatchers are chosen among the seeds.
// Callers reconnect together at that time, and a dispatcher that takes over does not know what the
// previous one has sent; the load peak is over after this duration.
const seedDispatchDuration = 4 * time.Second

// forming is the state of cluster formation, as known to a daemon that has just started. Daemons
// that all start at once first know few and different members, so each would choose different
// dispatchers. For seedDispatchDuration they choose among the seeds, which all of them were given.
// The zero value knows no seeds. It is guarded by the mutex of the Node.
type forming struct {
	started time.Time
	// seeds are the peer addresses given to this daemon at its start.
	seeds []string
	// seedForming is set if a seed that has also just started answered, or if this daemon is a
	// seed.
	seedForming bool
	// seedEstablished is set if a seed that was already running answered. It knows the members.
	seedEstablished bool
}

// isForming reports whether the daemon has just started.
func (f *forming) isForming(now time.Time) bool {
	return now.Sub(f.started) < formingDuration
}

// seedDispatchOver reports whether dispatchers are from now on chosen among all members.
func (f *forming) seedDispatchOver(now time.Time) bool {
	return now.Sub(f.started) >= seedDispatchDuration
}

// recordSeedAnswer records whether a seed that answered has itself just started.
func (f *forming) recordSeedAnswer(starting bool) {
	f.seedForming = f.seedForming || starting
	f.seedEstablished = f.seedEstablished || !starting
}

// setSeeds records the seeds. If there are many, each daemon queries different ones, and choosing
// among them would not make the daemons agree.
func (f *forming) setSeeds(seeds []string, own string) {
	if len(seeds) <= initialSeedQueries {
		f.seeds = seeds
	}
	f.seedForming = f.seedForming || slices.Contains(f.seeds, own)
}

// dispatcherCandidates returns the members of the region that are seeds, and whether dispatchers
// are currently chosen among them.
func (f *forming) dispatcherCandidates(now time.Time, region []membership.Member) (seeds []membership.Member, forming bool) {
	if !f.seedForming || f.seedEstablished || f.seedDispatchOver(now) || len(region) < minFormingFleet {
		return nil, false
	}
	for _, member := range region {
		if slices.Contains(f.seeds, member.PeerAddress) {
			seeds = append(seeds, member)
		}
	}
	return seeds, len(seeds) > 0 && len(seeds) < len(region)
}
