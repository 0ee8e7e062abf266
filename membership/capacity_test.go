package membership_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/membership"
)

// withCores returns members with the given processor time per machine.
func withCores(count int, cores float64, from int) []membership.Member {
	var members []membership.Member
	for number := range count {
		members = append(members, membership.Member{Name: fmt.Sprintf("m%d", from+number), Cores: cores})
	}
	return members
}

// TestHighCapacitySelectsLargeMachines: small machines are left out if there are enough large ones.
func TestHighCapacitySelectsLargeMachines(t *testing.T) {
	large := withCores(18, 0.8, 0)
	require.Equal(t, large, membership.HighCapacity(append(large, withCores(455, 0.16, 18)...)))
	few := withCores(6, 0.8, 0)
	require.Equal(t, few, membership.HighCapacity(append(few, withCores(103, 0.16, 6)...)))
}

// TestHighCapacitySelectsAll: all are selected if machines differ little, report nothing, or few are
// large.
func TestHighCapacitySelectsAll(t *testing.T) {
	for name, members := range map[string][]membership.Member{
		"alike":            withCores(20, 0.32, 0),
		"not reported":     withCores(20, 0, 0),
		"few":              append(withCores(3, 4, 0), withCores(5, 0.1, 3)...),
		"one large":        append(withCores(1, 64, 0), withCores(40, 0.5, 1)...),
		"some report less": append(withCores(10, 0.32, 0), withCores(10, 0.16, 10)...),
	} {
		require.Len(t, membership.HighCapacity(members), len(members), name)
	}
}
