// Package dissemination keeps a daemon at the newest configuration.
//
// The authoritative document is in the platform's store. Only a few daemons of each region watch
// it, selected from the members by rendezvous hashing: each watch counts as a call to the store,
// so the number of watches must not grow with the fleet. A daemon that learns of a new revision
// applies it and announces it to a few others at once, which fetch what they lack and do the same.
// Heartbeats carry the revision too, so that a daemon that was missed catches up within seconds. A
// daemon that none of the watchers would notify watches the store itself until one does.
//
// A daemon only moves to higher revisions, even if the store is restored from an older backup: the
// last known state is then retained until it is written again.
package dissemination

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/wait"
)

// Timing and bounds.
const (
	// watcherCheckInterval is how often a daemon that does not watch checks whether it should.
	watcherCheckInterval = time.Second
	// initialBackoff and defaultMaxBackoff bound the delay after a failed call.
	initialBackoff    = 200 * time.Millisecond
	defaultMaxBackoff = 15 * time.Second
	// initialWatchDelay is how long after its start a daemon may begin to watch. By then it knows
	// the other members. If all daemons start at once, a change made right after they have read
	// the store is received at the latest after this delay.
	initialWatchDelay = 1200 * time.Millisecond
	// sourcePlatform is the logged source of documents read from the store.
	sourcePlatform = "platform"
	// joinDelay is how long a daemon that starts before any configuration exists waits to discover
	// the other members.
	joinDelay = time.Second
	// initialConfigurationWait is how long it then waits for a configuration before it reads the
	// store again.
	initialConfigurationWait = 3 * time.Second
	// startupPeers is from how many peers a starting daemon that cannot read the store takes
	// answers, and startupComparisonPeers from how many one that has read it, to compare.
	startupPeers           = 5
	startupComparisonPeers = 2
	// startupComparisonTimeout bounds how much that comparison delays serving.
	startupComparisonTimeout = 300 * time.Millisecond
	// sourcePeers is the logged source of documents obtained from other daemons at the start.
	sourcePeers = "peers"
	// WatcherKey is the rendezvous hashing key that selects the watchers.
	WatcherKey = "watch/configuration"
)

// Peers is the Follower's access to the other daemons.
type Peers interface {
	// Rank returns this daemon's rank, from 0, among the count daemons selected for a key, and how
	// many were selected; chosen is false if it is not one of them. With a count of 0 all are
	// selected.
	Rank(key string, count int) (rank, total int, chosen bool)
	// HasAnnouncer reports whether any of the members that should announce changes to this daemon
	// answers, out of the count selected for a key. It may block briefly.
	HasAnnouncer(ctx context.Context, key string, count int) bool
	// RegionSize returns how many daemons of the region are alive.
	RegionSize() int
	// NotifyRenewal tells the other daemons, out of the count selected for a key, that the store
	// has answered this daemon's watch of a source. It may block.
	NotifyRenewal(ctx context.Context, key string, count int, source string)
	// FetchDocument returns current, updated with what is newer at the daemon with the given
	// address.
	FetchDocument(ctx context.Context, address string, current config.Document) (config.Document, error)
	// Announce announces the current position to the members of the region that are assigned to
	// this daemon, one of the count selected for a key. It may block.
	Announce(ctx context.Context, key string, count int)
	// Relay announces the current position to a few random members, after a change received from
	// another daemon. It may block.
	Relay(ctx context.Context)
}

// Options configures a Follower.
type Options struct {
	// Sources provide the parts of the document; each is watched independently.
	Sources  []Source
	Services *service.Registry
	Timeout  time.Duration // per call to the store
	Watchers int           // number of daemons per region that watch; 0: all, from the start
	// WatchInterval is the delay after a change, and the minimum time between the starts of two
	// watches of a source, so that changes in quick succession are received together.
	WatchInterval time.Duration
	// WatchGap is the time between the watch renewals of two daemons; 0: each watch waits for the
	// maximum duration.
	WatchGap time.Duration
	// MaxBackoff bounds the delay after a failed call; 0: 15 s.
	MaxBackoff time.Duration
	Log        *slog.Logger
	Random     *rand.Rand
	// Seeds returns the peer addresses to query at the start. It may block.
	Seeds func(ctx context.Context) []string
	// FirstStart says that no configuration can exist yet when the daemon starts.
	FirstStart bool
	// OnLostChanges, if set, is called when an offered document lacks changes that are in force.
	// It must not block.
	OnLostChanges func()
	// ObserveEra, if set, is called with the store era of each document before it is applied. It
	// must not block.
	ObserveEra func(era uint64)
}

// Follower keeps a daemon at the newest configuration. It is safe for concurrent use.
type Follower struct {
	options         Options
	log             *slog.Logger
	peers           Peers
	newerPeers      chan newerPeer // if full, entries are dropped; heartbeats repeat them
	watching        atomic.Bool
	reading         atomic.Bool   // the initial read of the store is in progress
	highestRevision atomic.Uint64 // highest revision seen from the store or a peer

	// announceRequests and relayRequests each buffer one request to announce: changes from the
	// store, and changes from other daemons.
	announceRequests, relayRequests chan struct{}

	failover failoverWatch
	renewals renewals

	// retentionChanged buffers one notification that the retained state has changed.
	retentionChanged chan struct{}

	configured chan struct{} // closed once requests can be served

	configuredOnce sync.Once // closes configured

	mutex     sync.Mutex // held while a document is applied
	retention config.Retention
	// document is the newest known from the store and other daemons. The snapshot in force differs
	// from it by the retained state.
	document atomic.Pointer[config.Document]
	randomMu sync.Mutex
}

// newerPeerQueueSize is how many members with a higher position may wait to be queried.
const newerPeerQueueSize = 4

// NewFollower returns a follower without configuration. SetPeers must be called before Run.
func NewFollower(options Options) *Follower {
	if options.MaxBackoff == 0 {
		options.MaxBackoff = defaultMaxBackoff
	}
	return &Follower{
		options: options, log: logging.Component(options.Log, "configuration"), newerPeers: make(chan newerPeer, newerPeerQueueSize),
		announceRequests: make(chan struct{}, 1), relayRequests: make(chan struct{}, 1), configured: make(chan struct{}), retentionChanged: make(chan struct{}, 1),
		failover: newFailoverWatch(len(options.Sources)),
	}
}

// SetPeers sets the access to the other daemons. It must be called before Run.
func (f *Follower) SetPeers(peers Peers) {
	f.peers = peers
}

// Revision returns the revision in force, or 0 if there is none.
func (f *Follower) Revision() config.Revision {
	return f.Position().Revision
}

// Position implements peer.Configuration.
func (f *Follower) Position() config.Position {
	if document := f.document.Load(); document != nil {
		return document.Position()
	}
	return config.Position{}
}

// Document returns the newest document applied; it must not be modified.
func (f *Follower) Document() config.Document {
	if document := f.document.Load(); document != nil {
		return *document
	}
	return config.Document{}
}

// HighestRevision returns the highest revision seen, in force or not.
func (f *Follower) HighestRevision() config.Revision {
	return max(config.Revision(f.highestRevision.Load()), f.Revision())
}

// Reading reports whether the initial read of the store is in progress, so that other daemons need
// not send everything.
func (f *Follower) Reading() bool {
	return f.reading.Load()
}

// Watching reports whether this daemon watches the store.
func (f *Follower) Watching() bool {
	return f.watching.Load()
}

// newerPeer is a member with a higher position.
type newerPeer struct {
	member   membership.Member
	position config.Position
}

// RecordNewerPeer implements peer.Configuration. Calls during the initial read of the store are
// ignored; later heartbeats repeat the position.
func (f *Follower) RecordNewerPeer(member membership.Member, position config.Position) {
	if f.Reading() {
		return
	}
	select {
	case f.newerPeers <- newerPeer{member: member, position: position}:
	default:
	}
}

// Offer applies the parts of a document that are newer than the current ones, and announces them.
// It returns an error if a newer document could not be used.
func (f *Follower) Offer(document config.Document, source string) error {
	f.observeRevision(document.Revision)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := f.document.Load()
	if current != nil {
		newest, newer := current.MergeNewest(document)
		if !newest.Includes(*current) || source == sourcePlatform && !document.Includes(*current) {
			f.reportLostChanges(*current, document, source)
			return nil
		}
		if !newer {
			f.logOlderDocument(current.Position(), document.Position(), source)
			return nil
		}
		document = newest
	}
	f.observeEra(document)
	snapshot, err := f.compile(f.retention.Apply(time.Now(), document))
	if err != nil {
		return errors.Annotatef(err, "revision %d cannot be used", document.Revision)
	}
	f.logDeviations(f.options.Services.Snapshot(), snapshot)
	f.options.Services.Put(snapshot)
	f.document.Store(&document)
	if f.canServe(document) {
		f.configuredOnce.Do(func() { close(f.configured) })
	}
	f.logInForce(current, document, source)
	f.requestAnnouncement(source == sourcePlatform)
	return nil
}

// reportLostChanges logs a document that lacks changes in force, as after a store rollback, and
// calls OnLostChanges so that they can be written again.
func (f *Follower) reportLostChanges(current, offered config.Document, source string) {
	f.log.Warn("document passed over that lacks changes in force", "revision", uint64(current.Revision), "stored", current.StoreVersion.String(),
		"offered_revision", uint64(offered.Revision), "offered_stored", offered.StoreVersion.String(), "source", source)
	if f.options.OnLostChanges != nil {
		f.options.OnLostChanges()
	}
}

// compile builds a snapshot of a document, based on the snapshot in force if there is one.
func (f *Follower) compile(document config.Document) (*config.Snapshot, error) {
	if current := f.options.Services.Snapshot(); current != nil {
		return current.Next(document)
	}
	return config.NewSnapshot(document)
}

// logOlderDocument logs a document that is older than the current one. Repeated offers of the same
// document are normal, as several daemons announce it, and are not logged.
func (f *Follower) logOlderDocument(current, offered config.Position, source string) {
	if current.Revision > offered.Revision && offered.Revision > 0 || current.Directory > offered.Directory && offered.Directory > 0 {
		f.log.Info("older document passed over", "revision", uint64(current.Revision), "stored", current.StoreVersion.String(), "directory", current.Directory.String(),
			"offered_revision", uint64(offered.Revision), "offered_stored", offered.StoreVersion.String(), "offered_directory", offered.Directory.String(), "source", source)
	}
}

// canServe reports whether requests can be served with a document: with several sources, the
// directory must have been read as well.
func (f *Follower) canServe(document config.Document) bool {
	if len(f.options.Sources) == 1 {
		return true
	}
	return document.Revision > 0 && document.Directory.Revision > 0
}

// Serving reports whether a configuration that requests can be served with is in force.
func (f *Follower) Serving() bool {
	select {
	case <-f.configured:
		return true
	default:
		return false
	}
}

func (f *Follower) observeRevision(revision config.Revision) {
	for {
		current := f.highestRevision.Load()
		if uint64(revision) <= current || f.highestRevision.CompareAndSwap(current, uint64(revision)) {
			return
		}
	}
}

// Configured returns a channel that is closed once requests can be served.
func (f *Follower) Configured() <-chan struct{} {
	return f.configured
}

// Run keeps the configuration up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { f.fetchLoop(ctx) })
	loops.Go(func() { f.announceLoop(ctx) })
	loops.Go(func() { f.retentionLoop(ctx) })
	watchFrom := time.Now().Add(initialWatchDelay)
	f.loadInitial(ctx)
	if f.options.Watchers > 0 {
		// A daemon that has just started knows few members and would select itself. If all daemons
		// started at once, each would watch.
		wait.Sleep(ctx, time.Until(watchFrom))
	}
	loops.Go(func() { f.failoverWatchLoop(ctx) })
	for _, source := range f.options.Sources {
		loops.Go(func() { f.watchLoop(ctx, source) })
	}
	loops.Wait()
}

// fetchLoop fetches missing changes from members with a higher position.
func (f *Follower) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-f.newerPeers:
			if f.Position().Behind(peer.position) {
				f.fetch(ctx, peer.member)
			}
		}
	}
}

func (f *Follower) fetch(ctx context.Context, member membership.Member) {
	current := f.Document()
	document, err := f.peers.FetchDocument(ctx, member.PeerAddress, current)
	if err != nil {
		f.log.Debug("newer configuration not fetched", "member", member.Name, "error", err)
		return
	}
	if err := f.Offer(document, member.Name); err != nil {
		f.log.Error("newer configuration not usable", "member", member.Name, "error", err)
	}
}
