package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/membership"
)

// TestEveryMemberHasItsTellers lets every daemon that watches tell its members: each
// member is told by two of them, or by the only one there is.
func TestEveryMemberHasItsTellers(t *testing.T) {
	for _, size := range []int{1, 2, 7, 18, 142, 850} {
		members := make([]membership.Member, size)
		for number := range members {
			members[number].Name = fmt.Sprintf("edge-%03d", number)
		}
		for _, watchers := range []int{1, 2, 3, 8} {
			if watchers > size {
				continue
			}
			told := make(map[string]int)
			for place := range watchers {
				for _, member := range assigned(members, "edge-000", place, watchers) {
					told[member.Name]++
				}
			}
			for _, member := range members[1:] {
				require.Equal(t, min(tellers, watchers), told[member.Name], "%s of %d, %d watchers", member.Name, size, watchers)
			}
		}
	}
}
