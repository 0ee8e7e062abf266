package peer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/membership"
)

// fleetOf returns so many members.
func fleetOf(size int) []membership.Member {
	members := make([]membership.Member, size)
	for number := range members {
		members[number].Name = fmt.Sprintf("edge-%03d", number)
	}
	return members
}

// TestEveryMemberHasItsTellers lets every daemon that watches tell its members: each
// member is told by two others, or by as many as there are, and none has far more to tell
// than the others.
func TestEveryMemberHasItsTellers(t *testing.T) {
	for _, size := range []int{1, 2, 7, 18, 142, 850} {
		members := fleetOf(size)
		for _, count := range []int{1, 2, 3, 4, 8} {
			watchers := membership.Choose(members, "watch", count)
			told := make(map[string]int)
			for _, watcher := range watchers {
				targets := assigned(members, watcher.Name, watchers)
				require.LessOrEqual(t, len(targets), 3*tellers*size/(2*count)+6, "%d members, %d watchers", size, count)
				for _, member := range targets {
					told[member.Name]++
				}
			}
			for _, member := range members {
				others := len(watchers)
				if slices.Contains(watchers, member) {
					others--
				}
				require.Equal(t, min(tellers, others), told[member.Name], "%s of %d, %d watchers", member.Name, size, count)
			}
		}
	}
}

// TestTellersDoNotDependOnOthers: daemons that know different members for a moment, but
// the same that watch, agree on who tells whom.
func TestTellersDoNotDependOnOthers(t *testing.T) {
	members := fleetOf(60)
	watchers := membership.Choose(members, "watch", 4)
	for _, watcher := range watchers {
		targets := assigned(members, watcher.Name, watchers)
		fewer := slices.DeleteFunc(slices.Clone(members), func(member membership.Member) bool {
			return member.Name < "edge-020" && !slices.Contains(watchers, member)
		})
		for _, member := range assigned(fewer, watcher.Name, watchers) {
			require.Contains(t, targets, member)
		}
		require.NotEmpty(t, targets)
	}
}
