package peer

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/peer/peerpb"
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

// held is the configuration of a daemon that has one position.
type held struct {
	directory atomic.Uint64
}

func (h *held) Position() config.Position {
	return config.Position{Revision: 1, Directory: config.Revision(h.directory.Load())}
}

func (*held) Document() config.Document                 { return config.Document{} }
func (*held) Reading() bool                             { return false }
func (*held) Watching() bool                            { return false }
func (*held) Behind(membership.Member, config.Position) {}
func (*held) Offer(config.Document, string) error       { return nil }

// TestTellersOfAMember are just those that would tell it.
func TestTellersOfAMember(t *testing.T) {
	members := make([]membership.Member, 30)
	for number := range members {
		members[number].Name = fmt.Sprintf("edge-%03d", number)
	}
	for _, count := range []int{1, 2, 3, 8} {
		watchers := membership.Choose(members, "watch", count)
		for _, member := range members {
			var expected []membership.Member
			for place, watcher := range watchers {
				if slices.Contains(assigned(members, watcher.Name, place, count), member) || watcher == member && slices.Contains(assigned(members, "", place, count), member) {
					expected = append(expected, watcher)
				}
			}
			require.ElementsMatch(t, expected, tellersOf(members, member.Name, watchers))
		}
	}
	require.Empty(t, tellersOf(members, "unknown", members[:2]))
}

// TestNewsIsHandedOverOnce is told of the same news by several daemons: one of them
// hands it over, and another one should that one fail to.
func TestNewsIsHandedOverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configuration := &held{}
		configuration.directory.Store(1)
		node := NewNode(Options{Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler), Configuration: configuration})
		announced := func(directory uint64) config.Position {
			reply, err := (&server{node: node}).Announce(t.Context(), &peerpb.Position{Revision: 1, Directory: directory})
			require.NoError(t, err)
			return decodePosition(reply)
		}
		require.EqualValues(t, 1, announced(5).Directory, "it lacks what is announced")
		require.EqualValues(t, 5, announced(5).Directory, "another hands it over")
		require.EqualValues(t, 1, announced(6).Directory, "this is newer")
		time.Sleep(2 * deliveryGrace)
		require.EqualValues(t, 1, announced(6).Directory, "it was not handed over")
		configuration.directory.Store(6)
		require.EqualValues(t, 6, announced(6).Directory)
		time.Sleep(2 * deliveryGrace)
	})
}
