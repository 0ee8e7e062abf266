package peer

import (
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/membership"
)

// formingFleet is how many members must be known before dispatchers are chosen among the
// seeds: fewer know each other as soon as they have asked one.
const formingFleet = 7

// formingTime is for how long after its start a daemon counts as having just started.
// Daemons that start together know each other by then.
const formingTime = 1200 * time.Millisecond

// seedsTime is for how long after a common start dispatchers are chosen among the seeds.
// Callers come back together then, and a dispatcher that takes over does not know what the
// one before has sent: by the end of this time the rush is over.
const seedsTime = 4 * time.Second

// forming is what a daemon that has just started knows of the others' start. Daemons
// that all start at once know few others at first, and each other ones, so that each
// would choose other dispatchers. For seedsTime they choose among the seeds, which all of
// them were told. The zero value knows nothing. The node's mutex
// guards it.
type forming struct {
	started time.Time
	// seeds are the peer addresses that this daemon was told at its start.
	seeds []string
	// met: a seed answered that has just started, too, or this daemon is one.
	met bool
	// joined: a seed answered that has run for longer. It knows the members.
	joined bool
}

// lasts says whether the daemon has just started.
func (f *forming) lasts(now time.Time) bool {
	return now.Sub(f.started) < formingTime
}

// seedsOver says whether dispatchers are chosen among all from now on.
func (f *forming) seedsOver(now time.Time) bool {
	return now.Sub(f.started) >= seedsTime
}

// heard notes what a seed that answered said of its own start.
func (f *forming) heard(itsForming bool) {
	f.met = f.met || itsForming
	f.joined = f.joined || !itsForming
}

// told notes the seeds. Where there are many, each daemon asks other ones, and nothing
// is agreed by choosing among them.
func (f *forming) told(seeds []string, own string) {
	if len(seeds) <= firstSeeds {
		f.seeds = seeds
	}
	f.met = f.met || slices.Contains(f.seeds, own)
}

// choose returns those of the members of the region that are seeds, and whether
// dispatchers are chosen among them for now.
func (f *forming) choose(now time.Time, region []membership.Member) (seeds []membership.Member, forming bool) {
	if !f.met || f.joined || f.seedsOver(now) || len(region) < formingFleet {
		return nil, false
	}
	for _, member := range region {
		if slices.Contains(f.seeds, member.PeerAddress) {
			seeds = append(seeds, member)
		}
	}
	return seeds, len(seeds) > 0 && len(seeds) < len(region)
}
