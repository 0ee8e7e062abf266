package peer

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/membership"
)

// newMembers returns size named members.
func newMembers(size int) []membership.Member {
	members := make([]membership.Member, size)
	for number := range members {
		members[number].Name = fmt.Sprintf("edge-%03d", number)
	}
	return members
}

// TestEveryMemberHasAnnouncers checks that each member is assigned to two announcers other than
// itself, or to as many as there are, and that no announcer has far more members than the others.
func TestEveryMemberHasAnnouncers(t *testing.T) {
	for _, size := range []int{1, 2, 7, 18, 142, 850} {
		members := newMembers(size)
		for _, count := range []int{1, 2, 3, 4, 8} {
			watchers := membership.Choose(members, "watch", count)
			announcements := make(map[string]int)
			for _, watcher := range watchers {
				targets := announceTargets(members, watcher.Name, watchers)
				require.LessOrEqual(t, len(targets), 3*announcersPerMember*size/(2*count)+6, "%d members, %d watchers", size, count)
				for _, member := range targets {
					announcements[member.Name]++
				}
			}
			for _, member := range members {
				others := len(watchers)
				if slices.Contains(watchers, member) {
					others--
				}
				require.Equal(t, min(announcersPerMember, others), announcements[member.Name], "%s of %d, %d watchers", member.Name, size, count)
			}
		}
	}
}

// TestAnnouncersDoNotDependOnOtherMembers checks that daemons that know the same watchers agree on the
// announcers of a member, even if they know different other members.
func TestAnnouncersDoNotDependOnOtherMembers(t *testing.T) {
	members := newMembers(60)
	watchers := membership.Choose(members, "watch", 4)
	for _, watcher := range watchers {
		targets := announceTargets(members, watcher.Name, watchers)
		fewer := slices.DeleteFunc(slices.Clone(members), func(member membership.Member) bool {
			return member.Name < "edge-020" && !slices.Contains(watchers, member)
		})
		for _, member := range announceTargets(fewer, watcher.Name, watchers) {
			require.Contains(t, targets, member)
		}
		require.NotEmpty(t, targets)
	}
}
