package dissemination

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tuliphall/tuliphall/config"
	_ "github.com/tuliphall/tuliphall/internal/testseed"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/service"
)

// lonely are the peers of a daemon that is told of no other. It watches the store
// unless others are chosen to.
type lonely struct {
	announced    atomic.Int32
	passedOn     atomic.Int32
	asked        atomic.Int32 // for a document
	othersChosen bool
}

func (l *lonely) Rank(string, int) (int, int, bool) { return 0, 1, !l.othersChosen }
func (l *lonely) HasAnnouncer(context.Context, string, int) bool {
	return l.othersChosen
}
func (l *lonely) RegionSize() int { return 1 }
func (l *lonely) Announce(context.Context, string, int) {
	l.announced.Add(1)
}
func (l *lonely) Relay(context.Context) {
	l.announced.Add(1)
	l.passedOn.Add(1)
}
func (l *lonely) FetchDocument(context.Context, string, config.Document) (config.Document, error) {
	l.asked.Add(1)
	return config.Document{}, errors.New("nobody there")
}

// scriptedSource has nothing until it is told what to declare.
type scriptedSource struct {
	reads    atomic.Int32
	watches  atomic.Int32
	declared chan config.Document
}

func (s *scriptedSource) Read(context.Context) (config.Document, error) {
	s.reads.Add(1)
	return config.Document{}, errors.NotFoundf("declaration")
}

func (s *scriptedSource) Required() bool { return true }
func (s *scriptedSource) Relaxed() bool  { return false }

func (s *scriptedSource) Name() string {
	return "script"
}

func (s *scriptedSource) Watch(ctx context.Context, present config.Document, wait time.Duration) (config.Document, error) {
	s.watches.Add(1)
	select {
	case document := <-s.declared:
		return document, nil
	case <-time.After(wait):
		return present, nil
	case <-ctx.Done():
		return config.Document{}, ctx.Err()
	}
}

func startFollower(t *testing.T, source Source, peers Peers, interval time.Duration) *Follower {
	t.Helper()
	return runFollower(t, peers, Options{Sources: []Source{source}, WatchInterval: interval})
}

func runFollower(t *testing.T, peers Peers, options Options) *Follower {
	t.Helper()
	options.Services = service.NewRegistry(service.Options{Network: network.TCP{}})
	options.Timeout, options.Log, options.Random = time.Second, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 1))
	options.Seeds = func(context.Context) []string { return nil }
	follower := NewFollower(options)
	follower.SetPeers(peers)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return follower
}

// TestFirstDeclarationIsWaitedFor starts before anything was declared: the store is
// asked once and watched, not asked again and again.
func TestFirstDeclarationIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{declared: make(chan config.Document, 1)}
		follower := startFollower(t, source, &lonely{}, 0)
		time.Sleep(3 * time.Second)
		require.EqualValues(t, 1, source.reads.Load())
		require.EqualValues(t, 1, source.watches.Load())
		source.declared <- config.Document{Revision: 4}
		time.Sleep(time.Millisecond)
		require.Equal(t, config.Revision(4), follower.Revision())
		<-follower.Configured()
	})
}

// TestFirstDeclarationIsTold starts a daemon that others are chosen to watch for: it
// asks the store once, and is told.
func TestFirstDeclarationIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{declared: make(chan config.Document)}
		follower := startFollower(t, source, &lonely{othersChosen: true}, 0)
		time.Sleep(3 * time.Second)
		require.EqualValues(t, 1, source.reads.Load())
		require.EqualValues(t, 0, source.watches.Load())
		require.NoError(t, follower.Offer(config.Document{Revision: 4}, "another"))
		<-follower.Configured()
	})
}

// TestFirstStart starts with the whole system: a daemon that others are chosen to
// watch for does not ask the store at all.
func TestFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{declared: make(chan config.Document)}
		follower := runFollower(t, &lonely{othersChosen: true}, Options{Sources: []Source{source}, FirstStart: true})
		time.Sleep(2 * time.Second)
		require.NoError(t, follower.Offer(config.Document{Revision: 4}, "another"))
		<-follower.Configured()
		time.Sleep(time.Minute)
		require.EqualValues(t, 0, source.reads.Load()+source.watches.Load())
	})
}

// slowSource takes a while to be read.
type slowSource struct {
	scriptedSource
}

func (s *slowSource) Read(context.Context) (config.Document, error) {
	time.Sleep(500 * time.Millisecond)
	return config.Document{Revision: 5}, nil
}

// TestOthersAreNotAskedWhileTheStoreIsRead hears of news while it reads the store at
// its start, and again later.
func TestOthersAreNotAskedWhileTheStoreIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &lonely{}
		follower := startFollower(t, &slowSource{}, peers, 0)
		time.Sleep(100 * time.Millisecond)
		require.True(t, follower.Reading())
		follower.RecordNewerPeer(membership.Member{Name: "edge-2"}, config.Position{Revision: 5})
		time.Sleep(time.Second)
		require.False(t, follower.Reading())
		require.EqualValues(t, 0, peers.asked.Load())
		follower.RecordNewerPeer(membership.Member{Name: "edge-2"}, config.Position{Revision: 6})
		synctest.Wait()
		require.EqualValues(t, 1, peers.asked.Load())
	})
}

// TestQuickChangesAreTakenTogether hears of a change, and pauses: what comes within
// the interval is heard with the next watch, together with those of other daemons.
func TestQuickChangesAreTakenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{declared: make(chan config.Document, 1)}
		peers := &lonely{}
		follower := startFollower(t, source, peers, 500*time.Millisecond)
		source.declared <- config.Document{Revision: 1}
		time.Sleep(10 * time.Second) // the next watch began long ago
		source.declared <- config.Document{Revision: 2}
		time.Sleep(time.Millisecond)
		require.Equal(t, config.Revision(2), follower.Revision())
		require.EqualValues(t, 2, peers.announced.Load())
		watches := source.watches.Load()
		time.Sleep(498 * time.Millisecond)
		require.Equal(t, watches, source.watches.Load(), "it pauses after news")
		time.Sleep(2 * time.Millisecond)
		require.Equal(t, watches+1, source.watches.Load())
	})
}

// TestNewsFromOthersIsAnnounced lets a daemon that watches the store tell its members of what another daemon
// told it, and one that does not only pass it on.
func TestNewsFromOthersIsAnnounced(t *testing.T) {
	for name, one := range map[string]struct {
		othersChosen bool
		announced    int32
	}{
		"it watches":   {announced: 1},
		"others watch": {othersChosen: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &lonely{othersChosen: one.othersChosen}
				follower := startFollower(t, &scriptedSource{declared: make(chan config.Document, 1)}, peers, 500*time.Millisecond)
				require.NoError(t, follower.Offer(config.Document{Revision: 1}, "edge-1"))
				time.Sleep(time.Millisecond)
				require.EqualValues(t, 1, peers.passedOn.Load())
				require.Equal(t, one.announced, peers.announced.Load()-peers.passedOn.Load())
			})
		})
	}
}

// TestOlderDocumentsArePassedOver offers documents in random orders, with parts that
// are older and newer: each part in force only ever goes up.
func TestOlderDocumentsArePassedOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		follower := NewFollower(Options{
			Sources: make([]Source, 2), Services: service.NewRegistry(service.Options{Network: network.TCP{}}),
			Log: slog.New(slog.DiscardHandler),
		})
		var highest config.Position
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			offered := config.Document{
				Revision:  config.Revision(rapid.IntRange(0, 6).Draw(t, "revision")),
				Directory: config.Directory{Revision: objectstore.Version(rapid.IntRange(0, 6).Draw(t, "directory"))},
			}
			// A document says by a service's name which revision it is of.
			if offered.Revision > 0 {
				offered.Content.Services = []config.Service{{Name: fmt.Sprintf("revision-%d", offered.Revision), RoutesOnly: true}}
			}
			require.NoError(t, follower.Offer(offered, "another"))
			highest = config.Position{
				Revision:  max(highest.Revision, offered.Revision),
				Directory: max(highest.Directory, offered.Directory.Revision),
			}
			require.Equal(t, highest, follower.Position())
			if highest.Revision > 0 {
				_, found := follower.options.Services.Find(fmt.Sprintf("revision-%d", highest.Revision))
				require.True(t, found, "what requests are served by is what is said to be in force")
			}
		}
	})
}
