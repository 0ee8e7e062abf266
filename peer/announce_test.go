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
