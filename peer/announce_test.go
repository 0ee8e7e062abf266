package peer

import (
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// held is the configuration of a daemon that has one position.
type held struct {
	directory atomic.Uint64
}

func (h *held) Position() config.Position {
	return config.Position{Revision: 1, Directory: objectstore.Version(h.directory.Load())}
}

func (*held) Document() config.Document                          { return config.Document{} }
func (*held) Reading() bool                                      { return false }
func (*held) Watching() bool                                     { return false }
func (*held) RecordNewerPeer(membership.Member, config.Position) {}
func (*held) Offer(config.Document, string) error                { return nil }

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
