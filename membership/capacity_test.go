package membership_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/membership"
)

// membersWithCores returns members with the given processor time per machine.
func membersWithCores(count int, cores float64, from int) []membership.Member {
	var members []membership.Member
	for number := range count {
		members = append(members, membership.Member{Name: fmt.Sprintf("m%d", from+number), Cores: cores})
	}
	return members
}

// TestHighCapacitySelectsLargeMachines checks that small machines are not selected if there are enough large ones.
func TestHighCapacitySelectsLargeMachines(t *testing.T) {
	large := membersWithCores(18, 0.8, 0)
	require.Equal(t, large, membership.HighCapacity(append(large, membersWithCores(455, 0.16, 18)...)))
	few := membersWithCores(6, 0.8, 0)
	require.Equal(t, few, membership.HighCapacity(append(few, membersWithCores(103, 0.16, 6)...)))
}

// TestHighCapacitySelectsAll checks that all machines are selected if they differ little, report nothing, or few of
// them are large.
func TestHighCapacitySelectsAll(t *testing.T) {
	for name, members := range map[string][]membership.Member{
		"equal":            membersWithCores(20, 0.32, 0),
		"not reported":     membersWithCores(20, 0, 0),
		"few large":        append(membersWithCores(3, 4, 0), membersWithCores(5, 0.1, 3)...),
		"one large":        append(membersWithCores(1, 64, 0), membersWithCores(40, 0.5, 1)...),
		"some report less": append(membersWithCores(10, 0.32, 0), membersWithCores(10, 0.16, 10)...),
	} {
		require.Len(t, membership.HighCapacity(members), len(members), name)
	}
}
