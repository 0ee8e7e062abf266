// Package dissemination keeps a daemon at the newest configuration.
//
// The platform's store holds the one document that counts. Only a few daemons of
// each region watch it, chosen from the members by rendezvous hashing; a watch
// counts as a call, so that their number must not grow with the fleet. A daemon
// that learns of a new revision puts it in force and tells a few others at once,
// which fetch what they lack and do the same. Heartbeats carry the revision too,
// so that whoever was missed catches up within seconds. A daemon that none of those
// would tell watches the store itself until one does. A daemon only ever goes to a
// higher revision, also when the store comes back from an older copy: what was known last is then kept until it is written
// again.
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
	// pollInterval is how often a daemon that does not watch looks whether it
	// should.
	pollInterval = time.Second
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 15 * time.Second
	// firstWatch is how long after its start a daemon may watch. It knows the others
	// by then; and where all daemons started at once, a change that is made right after
	// they have read the store is heard no later than this.
	firstWatch = 1200 * time.Millisecond
	// fromPlatform is the source of what the daemon read itself.
	fromPlatform = "platform"
	// joinTime is how long a daemon that starts before anything was declared
	// gets to know the others.
	joinTime = time.Second
	// firstDeclaration is how long it then waits before it reads the store again.
	firstDeclaration = 3 * time.Second
	// startPeers is how many peers a starting daemon asks that cannot read the store, and startComparedPeers how many it
	// compares with what it has read.
	startPeers         = 5
	startComparedPeers = 2
	// startPeersTimeout bounds how long that comparison keeps a daemon from serving.
	startPeersTimeout = 300 * time.Millisecond
	// fromPeers is the source of what other daemons told at the start.
	fromPeers = "peers"
	// WatcherKey is the key by which watchers are chosen.
	WatcherKey = "watch/configuration"
)

// Peers is what a Follower asks of the other daemons.
type Peers interface {
	// Rank returns this daemon's place, from 0, among those that are chosen for
	// a duty, and their number; chosen is false when it is none of them. With a
	// count of 0 all are chosen.
	Rank(duty string, count int) (place, of int, chosen bool)
	// HasAnnouncer says whether any of the members that would tell this one of news
	// answers, of the count that are chosen for a duty. It may block for a moment.
	HasAnnouncer(ctx context.Context, duty string, count int) bool
	// RegionSize returns how many daemons of the region are alive.
	RegionSize() int
	// FetchDocument returns the document of the daemon at an address.
	FetchDocument(ctx context.Context, address string, present config.Document) (config.Document, error)
	// Announce tells members of the region what is in force here, as one of the count
	// daemons that are chosen for a duty. It may block.
	Announce(ctx context.Context, duty string, count int)
	// Relay tells a few members what is in force here, as others tell it, too. It may
	// block.
	Relay(ctx context.Context)
}

// Options are a Follower's collaborators.
type Options struct {
	// Sources give the parts of the document; each is watched by itself.
	Sources  []Source
	Services *service.Registry
	Timeout  time.Duration // of one call to the store
	Watchers int           // daemons of a region that watch; 0: all, from the start
	// WatchInterval is the pause after news, and the least time between the
	// beginnings of two watches of a source: changes that come in quick succession
	// are heard together.
	WatchInterval time.Duration
	// WatchGap is the time between the renewals of two daemons' watches; 0: a
	// watch waits as long as it may.
	WatchGap time.Duration
	// MaxBackoff bounds the pause after a failed call; 0: 15 s.
	MaxBackoff time.Duration
	Log        *slog.Logger
	Random     *rand.Rand
	// Seeds returns peer addresses to ask at the start. It may block.
	Seeds func(ctx context.Context) []string
	// FirstStart says that nothing can have been declared yet when the daemon starts.
	FirstStart bool
	// OnLostChanges is called when a document lacks changes that are in force, and HearEra with the era of the store that a document
	// is of; nil: neither is. They must not block.
	OnLostChanges func()
	ObserveEra    func(era uint64)
}

// Follower keeps a daemon at the newest configuration. It is safe for
// concurrent use.
type Follower struct {
	options  Options
	log      *slog.Logger
	peers    Peers
	behind   chan news // bounded; a full queue drops: heartbeats repeat it
	watching atomic.Bool
	reading  atomic.Bool   // the store is being read at the start
	head     atomic.Uint64 // highest revision heard of

	// toAnnounce and toPassOn have room for one each: news from the store, and from
	// other daemons, that members are still to be told of.
	toAnnounce, toPassOn chan struct{}

	standIn standIn

	// retained has room for one: what is kept of what the store lost has changed.
	retained chan struct{}

	configured chan struct{} // closed once a document is in force

	once sync.Once // closes it

	mutex     sync.Mutex // held while a document is put in force
	retention config.Retention
	// document is what the store and other daemons tell; what is in force differs from it by what is retained.
	document atomic.Pointer[config.Document]
	randomMu sync.Mutex
}

// behindQueue is how many members with a higher revision may wait to be asked.
const behindQueue = 4

// NewFollower returns a follower without configuration. SetPeers must be called
// before Run.
func NewFollower(options Options) *Follower {
	if options.MaxBackoff == 0 {
		options.MaxBackoff = maxBackoff
	}
	return &Follower{
		options: options, log: logging.Component(options.Log, "configuration"), behind: make(chan news, behindQueue),
		toAnnounce: make(chan struct{}, 1), toPassOn: make(chan struct{}, 1), configured: make(chan struct{}), retained: make(chan struct{}, 1),
		standIn: newStandIn(len(options.Sources)),
	}
}

// SetPeers sets the other daemons.
func (f *Follower) SetPeers(peers Peers) {
	f.peers = peers
}

// Revision returns the revision in force, 0 if there is none.
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

// Document returns the document in force; it must not be changed.
func (f *Follower) Document() config.Document {
	if document := f.document.Load(); document != nil {
		return *document
	}
	return config.Document{}
}

// HighestRevision returns the highest revision heard of.
func (f *Follower) HighestRevision() config.Revision {
	return max(config.Revision(f.head.Load()), f.Revision())
}

// Reading says whether this daemon has just started and reads the store, so that
// others need not hand it everything.
func (f *Follower) Reading() bool {
	return f.reading.Load()
}

// Watching says whether this daemon watches the store.
func (f *Follower) Watching() bool {
	return f.watching.Load()
}

// news is that a member has a higher position.
type news struct {
	member   membership.Member
	position config.Position
}

// RecordNewerPeer implements peer.Configuration. While the store is being read at the start,
// what others have is not asked for: heartbeats tell it again.
func (f *Follower) RecordNewerPeer(member membership.Member, position config.Position) {
	if f.Reading() {
		return
	}
	select {
	case f.behind <- news{member: member, position: position}:
	default:
	}
}

// Offer puts what is newer in a document than in the present one in force, and
// tells others. The error says why a newer document could not be used.
func (f *Follower) Offer(document config.Document, source string) error {
	f.noteHead(document.Revision)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	present := f.document.Load()
	if present != nil {
		newest, newer := present.MergeNewest(document)
		if !newest.Includes(*present) || source == fromPlatform && !document.Includes(*present) {
			f.noteLost(*present, document, source)
			return nil
		}
		if !newer {
			f.notePassedOver(present.Position(), document.Position(), source)
			return nil
		}
		document = newest
	}
	f.noteEra(document)
	snapshot, err := f.snapshotOf(f.retention.Apply(time.Now(), document))
	if err != nil {
		return errors.Annotatef(err, "revision %d cannot be used", document.Revision)
	}
	f.options.Services.Put(snapshot)
	f.document.Store(&document)
	if f.isConfigured(document) {
		f.once.Do(func() { close(f.configured) })
	}
	f.logInForce(present, document, source)
	f.announce(source == fromPlatform)
	return nil
}

// noteLost logs a document that lacks changes which are in force, as the store came back older, and lets these be written again.
func (f *Follower) noteLost(present, offered config.Document, source string) {
	f.log.Warn("document passed over that lacks changes in force", "revision", uint64(present.Revision), "stored", present.StoreVersion.String(),
		"offered_revision", uint64(offered.Revision), "offered_stored", offered.StoreVersion.String(), "source", source)
	if f.options.OnLostChanges != nil {
		f.options.OnLostChanges()
	}
}

// snapshotOf compiles a document, going on from the snapshot in force.
func (f *Follower) snapshotOf(document config.Document) (*config.Snapshot, error) {
	if present := f.options.Services.Snapshot(); present != nil {
		return present.Next(document)
	}
	return config.NewSnapshot(document)
}

// notePassedOver logs a document that is older than the one in force. The same one
// again is usual: several daemons tell of it.
func (f *Follower) notePassedOver(present, offered config.Position, source string) {
	if present.Revision > offered.Revision && offered.Revision > 0 || present.Directory > offered.Directory && offered.Directory > 0 {
		f.log.Info("older document passed over", "revision", uint64(present.Revision), "stored", present.StoreVersion.String(), "directory", present.Directory.String(),
			"offered_revision", uint64(offered.Revision), "offered_stored", offered.StoreVersion.String(), "offered_directory", offered.Directory.String(), "source", source)
	}
}

// isConfigured says whether requests can be served with a document: where there
// are several sources, the directory must have been read as well.
func (f *Follower) isConfigured(document config.Document) bool {
	if len(f.options.Sources) == 1 {
		return true
	}
	return document.Revision > 0 && document.Directory.Revision > 0
}

// Serving says whether requests can be served with what has been read.
func (f *Follower) Serving() bool {
	select {
	case <-f.configured:
		return true
	default:
		return false
	}
}

func (f *Follower) noteHead(revision config.Revision) {
	for {
		present := f.head.Load()
		if uint64(revision) <= present || f.head.CompareAndSwap(present, uint64(revision)) {
			return
		}
	}
}

// Configured returns a channel that is closed once a configuration is in force.
func (f *Follower) Configured() <-chan struct{} {
	return f.configured
}

// Run keeps the configuration up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { f.fetchLoop(ctx) })
	running.Go(func() { f.announceLoop(ctx) })
	running.Go(func() { f.retentionLoop(ctx) })
	mayWatch := time.Now().Add(firstWatch)
	f.start(ctx)
	if f.options.Watchers > 0 {
		// A daemon that has just started knows hardly anybody and would choose
		// itself. Had all started at once, each would hold a watch.
		wait.Sleep(ctx, time.Until(mayWatch))
	}
	running.Go(func() { f.standInLoop(ctx) })
	for _, source := range f.options.Sources {
		running.Go(func() { f.watchLoop(ctx, source) })
	}
	running.Wait()
}

// fetchLoop asks members that have a higher revision for what is lacking.
func (f *Follower) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case heard := <-f.behind:
			if f.Position().Behind(heard.position) {
				f.fetch(ctx, heard.member)
			}
		}
	}
}

func (f *Follower) fetch(ctx context.Context, member membership.Member) {
	present := f.Document()
	document, err := f.peers.FetchDocument(ctx, member.PeerAddress, present)
	if err != nil {
		f.log.Debug("newer configuration not fetched", "member", member.Name, "error", err)
		return
	}
	if err := f.Offer(document, member.Name); err != nil {
		f.log.Error("newer configuration not usable", "member", member.Name, "error", err)
	}
}
