// Package dissemination keeps a daemon at the newest configuration.
//
// The platform's store holds the one document that counts. Only a few daemons of
// each region watch it, chosen from the members by rendezvous hashing; a watch
// counts as a call, so that their number must not grow with the fleet. A daemon
// that learns of a new revision puts it in force and tells a few others at once,
// which fetch what they lack and do the same. Heartbeats carry the revision too,
// so that whoever was missed catches up within seconds. A daemon only ever goes
// to a higher revision.
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
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/wait"
)

// Timing and bounds.
const (
	// watchWait is how long one watch waits; it counts as one call.
	watchWait = 30 * time.Second
	// pollInterval is how often a daemon that does not watch looks whether it
	// should.
	pollInterval = time.Second
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 15 * time.Second
	// firstWatch is how long a daemon gets to know the others before it may watch.
	firstWatch = 5 * time.Second
	// startPeers is how many peers a starting daemon asks.
	startPeers = 5
	// WatchDuty is the key by which watchers are chosen.
	WatchDuty = "watch/configuration"
)

// Peers is what a Follower asks of the other daemons.
type Peers interface {
	// Holds says whether this daemon is chosen for a duty.
	Holds(duty string, count int) bool
	// FetchDocument returns the document of the daemon at an address.
	FetchDocument(ctx context.Context, address string, present config.Document) (config.Document, error)
	// Spread tells a few members at once that there is news.
	Spread()
}

// Options are a Follower's collaborators.
type Options struct {
	Store    objectstore.Store
	Services *service.Registry
	Timeout  time.Duration // of one call to the store
	Watchers int           // daemons of a region that watch
	Log      *slog.Logger
	Random   *rand.Rand
	// Seeds returns peer addresses to ask at the start. It may block.
	Seeds func(ctx context.Context) []string
}

// Follower keeps a daemon at the newest configuration. It is safe for
// concurrent use.
type Follower struct {
	options  Options
	log      *slog.Logger
	peers    Peers
	behind   chan membership.Member // bounded; a full queue drops: heartbeats repeat it
	watching atomic.Bool
	head     atomic.Uint64 // highest revision heard of

	configured chan struct{} // closed once a document is in force

	mutex    sync.Mutex // held while a document is put in force
	document atomic.Pointer[config.Document]
	randomMu sync.Mutex
}

// behindQueue is how many members with a higher revision may wait to be asked.
const behindQueue = 4

// NewFollower returns a follower without configuration. SetPeers must be called
// before Run.
func NewFollower(options Options) *Follower {
	return &Follower{options: options, log: logging.Part(options.Log, "configuration"), behind: make(chan membership.Member, behindQueue), configured: make(chan struct{})}
}

// SetPeers sets the other daemons.
func (f *Follower) SetPeers(peers Peers) {
	f.peers = peers
}

// Revision returns the revision in force, 0 if there is none.
func (f *Follower) Revision() config.Revision {
	if document := f.document.Load(); document != nil {
		return document.Revision
	}
	return 0
}

// Document returns the document in force; it must not be changed.
func (f *Follower) Document() config.Document {
	if document := f.document.Load(); document != nil {
		return *document
	}
	return config.Document{}
}

// Head returns the highest revision heard of.
func (f *Follower) Head() config.Revision {
	return max(config.Revision(f.head.Load()), f.Revision())
}

// Watching says whether this daemon watches the store.
func (f *Follower) Watching() bool {
	return f.watching.Load()
}

// Behind implements peer.Configuration.
func (f *Follower) Behind(member membership.Member) {
	select {
	case f.behind <- member:
	default:
	}
}

// Offer puts a document in force if it is newer than the present one, and tells
// others. The error says why a newer document could not be used.
func (f *Follower) Offer(document config.Document, source string) error {
	f.noteHead(document.Revision)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	present := f.document.Load()
	if present != nil && document.Revision <= present.Revision {
		return nil
	}
	snapshot, err := config.NewSnapshot(document)
	if err != nil {
		return errors.Annotatef(err, "revision %d cannot be used", document.Revision)
	}
	f.options.Services.Put(snapshot)
	f.document.Store(&document)
	if present == nil {
		close(f.configured)
	}
	f.log.Info("in force", "revision", uint64(document.Revision), "source", source)
	f.peers.Spread()
	return nil
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
	f.start(ctx)
	f.watchLoop(ctx)
	running.Wait()
}

// start reads the first configuration: from the store, or, when it is down,
// the newest that the peers have.
func (f *Follower) start(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if err := f.readStore(ctx); err == nil {
			return
		} else {
			f.log.Warn("store not read at the start, asking peers", "error", err)
		}
		if f.askPeers(ctx) {
			return
		}
		backoff = f.pause(ctx, backoff)
	}
}

func (f *Follower) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	document, _, err := config.Load(ctx, f.options.Store)
	if err != nil {
		return err
	}
	return f.Offer(document, "platform")
}

// askPeers puts the newest document of a few peers in force and says whether
// any had one.
func (f *Follower) askPeers(ctx context.Context) bool {
	seeds := f.options.Seeds(ctx)
	f.randomMu.Lock()
	f.options.Random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	f.randomMu.Unlock()
	var newest config.Document
	answered := 0
	for _, address := range seeds {
		document, err := f.peers.FetchDocument(ctx, address, config.Document{})
		if err != nil {
			continue
		}
		if document.Revision > newest.Revision {
			newest = document
		}
		if answered++; answered >= startPeers {
			break
		}
	}
	if newest.Revision == 0 {
		return false
	}
	if err := f.Offer(newest, "peers"); err != nil {
		f.log.Error("configuration of the peers not usable", "error", err)
		return false
	}
	return true
}

// fetchLoop asks members that have a higher revision for what is lacking.
func (f *Follower) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case member := <-f.behind:
			f.fetch(ctx, member)
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

// watchLoop watches the store while this daemon is chosen to.
func (f *Follower) watchLoop(ctx context.Context) {
	backoff := firstBackoff
	version := objectstore.Version(0)
	// A daemon that has just started knows hardly anybody and would choose itself.
	// Had all started at once, each would hold a watch.
	wait.Sleep(ctx, firstWatch)
	for ctx.Err() == nil {
		chosen := f.chosen()
		f.watching.Store(chosen)
		if !chosen {
			version = 0
			if !wait.Sleep(ctx, pollInterval) {
				return
			}
			continue
		}
		next, err := f.watch(ctx, version)
		if err != nil {
			f.log.Warn("watch failed", "error", err)
			backoff = f.pause(ctx, backoff)
			continue
		}
		version, backoff = next, firstBackoff
	}
}

func (f *Follower) chosen() bool {
	return f.peers.Holds(WatchDuty, f.options.Watchers)
}

// cancelWhenNotChosen ends a watch once others are chosen to watch.
func (f *Follower) cancelWhenNotChosen(ctx context.Context, cancel context.CancelFunc) {
	for wait.Sleep(ctx, pollInterval) {
		if !f.chosen() {
			cancel()
			return
		}
	}
}

// watch waits for one change and puts it in force.
func (f *Follower) watch(ctx context.Context, after objectstore.Version) (objectstore.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+f.options.Timeout)
	defer cancel()
	go f.cancelWhenNotChosen(ctx, cancel)
	object, err := f.options.Store.Watch(ctx, config.HeadKey, after, watchWait)
	if errors.Is(err, objectstore.ErrNotFound) || (err != nil && !f.chosen()) {
		return after, nil
	}
	if err != nil {
		return after, err
	}
	document, err := config.DecodeDocument(object.Value)
	if err != nil {
		return after, err
	}
	return object.Version, f.Offer(document, "platform")
}

// pause sleeps for a random part of the backoff and returns the next one. The
// spread keeps daemons that failed together from coming back together.
func (f *Follower) pause(ctx context.Context, backoff time.Duration) time.Duration {
	f.randomMu.Lock()
	length := backoff/2 + time.Duration(f.options.Random.Int64N(int64(backoff)))
	f.randomMu.Unlock()
	wait.Sleep(ctx, length)
	return min(backoff*2, maxBackoff)
}
