package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/membership"
)

// cluster is a simulated fleet whose exchanges the test performs.
type cluster struct {
	now         time.Time
	states      []*membership.State
	byName      map[string]int
	partitioned func(a, b int) bool
	down        map[int]bool
}

func newCluster(size int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), byName: make(map[string]int), down: make(map[int]bool)}
	for number := range size {
		c.add(number, 1)
	}
	return c
}

func (c *cluster) add(number int, incarnation uint64) {
	name := fmt.Sprintf("daemon-%03d", number)
	self := membership.Member{Name: name, Incarnation: incarnation}
	state := membership.NewState(self, rand.New(rand.NewPCG(uint64(number), incarnation)))
	if number < len(c.states) {
		c.states[number] = state
	} else {
		c.states = append(c.states, state)
	}
	c.byName[name] = number
	// A new daemon joins through the first running daemon.
	for other := range number {
		if !c.down[other] {
			state.MergeList(c.now, append(c.states[other].Members(), c.states[other].Self()))
			c.states[other].ReceivedFrom(c.now, self)
			return
		}
	}
}

// reaches reports whether two daemons can communicate.
func (c *cluster) reaches(a, b int) bool {
	return !c.down[a] && !c.down[b] && (c.partitioned == nil || !c.partitioned(a, b))
}

// runPeriod has every running daemon perform its exchange of one period.
func (c *cluster) runPeriod() {
	c.now = c.now.Add(membership.Period)
	for number, state := range c.states {
		if c.down[number] {
			continue
		}
		state.Tick(c.now)
		target, found := state.NextPeer()
		if !found {
			continue
		}
		other := c.byName[target.Name]
		if !c.reaches(number, other) {
			state.MarkUnreachable(c.now, target.Name)
			continue
		}
		c.exchange(number, other)
		c.exchange(other, number)
	}
}

// exchange sends a message from one daemon to another.
func (c *cluster) exchange(from, to int) {
	sender, receiver := c.states[from], c.states[to]
	receiver.Merge(c.now, sender.Updates())
	receiver.ReceivedFrom(c.now, sender.Self())
	if receiver.SyncDue(c.now, sender.Digest()) {
		receiver.MergeList(c.now, append(sender.Members(), sender.Self()))
	}
}

// periodsUntil returns the number of periods until a condition holds.
func (c *cluster) periodsUntil(t *testing.T, limit int, condition func() bool) int {
	t.Helper()
	for count := range limit {
		if condition() {
			return count
		}
		c.runPeriod()
	}
	t.Fatalf("not within %d periods", limit)
	return 0
}

// converged reports whether every running daemon sees exactly the running daemons as serving.
func (c *cluster) converged() bool {
	running := len(c.states) - len(c.down)
	for number, state := range c.states {
		if !c.down[number] && len(state.Serving()) != running {
			return false
		}
	}
	return true
}

// TestJoinAndDeath checks that all daemons learn of daemons that join, die, and restart under the same name.
func TestJoinAndDeath(t *testing.T) {
	c := newCluster(60)
	c.periodsUntil(t, 30, c.converged)
	c.down[7] = true
	c.periodsUntil(t, 40, c.converged)
	// The daemon restarts under the same name with a higher incarnation.
	delete(c.down, 7)
	c.add(7, 2)
	c.periodsUntil(t, 40, c.converged)
}

// TestDigestsAgree checks that daemons that know the same members have the same digest, so they do not sync.
func TestDigestsAgree(t *testing.T) {
	c := newCluster(50)
	c.periodsUntil(t, 30, c.converged)
	for range 10 {
		c.runPeriod()
	}
	for _, state := range c.states {
		require.Equal(t, c.states[0].Digest(), state.Digest())
	}
}

// TestPartitionHeals partitions the fleet until each side has declared the other dead: afterwards both sides must
// know each other again.
func TestPartitionHeals(t *testing.T) {
	c := newCluster(40)
	c.periodsUntil(t, 30, c.converged)
	c.partitioned = func(a, b int) bool { return a%2 != b%2 }
	c.periodsUntil(t, 200, func() bool {
		for _, state := range c.states {
			if len(state.Serving()) != 20 {
				return false
			}
		}
		return true
	})
	c.partitioned = nil
	c.periodsUntil(t, 100, c.converged)
}

// TestFalseSuspicionIsRefuted checks that a running daemon that is falsely suspected is seen as alive again.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	c := newCluster(10)
	c.periodsUntil(t, 30, c.converged)
	c.states[0].MarkUnreachable(c.now, "daemon-005")
	for range 20 {
		c.runPeriod()
	}
	require.True(t, c.converged())
	for _, member := range c.states[0].Members() {
		require.Equal(t, membership.Alive, member.Status, member.Name)
	}
}

// TestVersionFollowsStatus checks that the version changes with every change of a member's status,
// suspicion and refutation included, as views are cached by it.
func TestVersionFollowsStatus(t *testing.T) {
	now := time.Unix(1000, 0)
	state := membership.NewState(membership.Member{Name: "self"}, rand.New(rand.NewPCG(1, 1)))
	versions := map[uint64]bool{state.Version(): true}
	changed := func(what string) {
		t.Helper()
		require.False(t, versions[state.Version()], what)
		versions[state.Version()] = true
	}
	state.Merge(now, []membership.Member{{Name: "other", Incarnation: 1}})
	changed("joined")
	state.MarkUnreachable(now, "other")
	changed("suspected")
	state.Merge(now, []membership.Member{{Name: "other", Incarnation: 2}})
	changed("refuted")
	state.MarkUnreachable(now, "other")
	changed("suspected again")
	state.Tick(now.Add(time.Hour))
	changed("dead")
}

// TestLeave checks that a daemon that announces its leave is removed without being suspected first.
func TestLeave(t *testing.T) {
	c := newCluster(10)
	c.periodsUntil(t, 30, c.converged)
	c.states[3].Leave()
	for other := range 3 {
		c.exchange(3, other)
	}
	c.down[3] = true
	require.LessOrEqual(t, c.periodsUntil(t, 10, c.converged), 5)
}

// TestChooseIsStable checks that, when a member leaves, only the keys of that member move to others.
func TestChooseIsStable(t *testing.T) {
	members := newCluster(20).states[0].Serving()
	require.NotEmpty(t, members)
	all := make([]membership.Member, 0, 20)
	for number := range 20 {
		all = append(all, membership.Member{Name: fmt.Sprintf("daemon-%03d", number)})
	}
	without := append(append([]membership.Member(nil), all[:4]...), all[5:]...)
	for key := range 200 {
		before := membership.Choose(all, fmt.Sprint(key), 3)
		after := membership.Choose(without, fmt.Sprint(key), 3)
		require.Len(t, before, 3)
		if before[0].Name != all[4].Name {
			require.Equal(t, before[0], after[0])
		}
	}
}
