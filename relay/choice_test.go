package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/membership"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// members returns this many daemons.
func members(count int) []membership.Member {
	var all []membership.Member
	for number := range count {
		all = append(all, membership.Member{Name: fmt.Sprintf("daemon-%d", number)})
	}
	return all
}

// Guards against relaying all requests through one daemon.
func TestLoadIsSpreadOverDaemons(t *testing.T) {
	choice := NewChoice(rand.New(rand.NewPCG(1, 1)))
	candidates := members(10)
	counts := make(map[string]int)
	for range 1000 {
		chosen, found := choice.Next(start, candidates, nil)
		require.True(t, found)
		choice.MarkFit(start, chosen.Name)
		counts[chosen.Name]++
	}
	for _, candidate := range candidates {
		require.Greater(t, counts[candidate.Name], 1000/len(candidates)/2, candidate.Name)
	}
}

// A daemon that cannot relay requests is not asked for a while; the others are found although most
// cannot.
func TestUnfitDaemonsAreAvoided(t *testing.T) {
	choice := NewChoice(rand.New(rand.NewPCG(1, 1)))
	candidates := members(850)
	fit := func(name string) bool { return name < "daemon-2" } // about an eighth
	failed := 0
	for number := range 2000 {
		now := start.Add(time.Duration(number) * 10 * time.Millisecond)
		var tried []string
		for {
			chosen, found := choice.Next(now, candidates, tried)
			require.True(t, found)
			tried = append(tried, chosen.Name)
			if fit(chosen.Name) {
				choice.MarkFit(now, chosen.Name)
				break
			}
			choice.MarkUnfit(now, chosen.Name, unfitDuration)
			if len(tried) == maxPeers {
				failed++
				break
			}
		}
	}
	require.Less(t, failed, 2000/50)
	require.LessOrEqual(t, len(choice.marks), maxMarks)
}

// No daemon is asked twice for a request, nor one that is known to be unfit until that expires.
func TestNoCandidateLeft(t *testing.T) {
	choice := NewChoice(rand.New(rand.NewPCG(1, 1)))
	candidates := members(2)
	choice.MarkUnfit(start, "daemon-0", unfitDuration)
	chosen, found := choice.Next(start, candidates, nil)
	require.True(t, found)
	require.Equal(t, "daemon-1", chosen.Name)
	_, found = choice.Next(start, candidates, []string{"daemon-1"})
	require.False(t, found)
	_, found = choice.Next(start.Add(unfitDuration), candidates, []string{"daemon-1"})
	require.True(t, found)
	_, found = choice.Next(start, nil, nil)
	require.False(t, found)
}
