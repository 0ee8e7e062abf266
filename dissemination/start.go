package dissemination

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/wait"
)

// start reads the first configuration: from the sources, or, when one is down,
// the newest that the peers have. It ends once requests can be served, also when
// others brought what it takes.
func (f *Follower) start(ctx context.Context) {
	backoff := firstBackoff
	if f.options.FirstStart {
		f.awaitFirst(ctx)
	}
	for ctx.Err() == nil && !f.Serving() {
		err := f.readSources(ctx)
		if err == nil {
			return
		}
		if errors.Is(err, errors.NotFound) {
			f.log.Info("nothing declared yet")
			f.awaitFirst(ctx)
			continue
		}
		f.log.Warn("store not read at the start, asking peers", "error", err)
		if f.takeFromPeers(ctx) {
			return
		}
		backoff = f.pause(ctx, backoff)
	}
}

func (f *Follower) readSources(ctx context.Context) error {
	f.reading.Store(true)
	defer f.reading.Store(false)
	limited, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	var read config.Document
	for _, source := range f.options.Sources {
		if !source.Required() {
			continue
		}
		document, err := source.Read(limited)
		if err != nil {
			return err
		}
		read, _ = read.MergeNewest(document)
	}
	if read.Position().Era() == 0 {
		return f.Offer(read, fromPlatform) // the store has never come back older
	}
	return f.Offer(f.newestOfPeers(ctx, read))
}

// newestOfPeers returns what a few peers have that is newer than what was read from the store, which may have come
// back older, and the source of the result.
func (f *Follower) newestOfPeers(ctx context.Context, read config.Document) (config.Document, string) {
	ctx, cancel := context.WithTimeout(ctx, startPeersTimeout)
	defer cancel()
	newest := f.askPeers(ctx, read, startComparedPeers)
	if !read.Position().Behind(newest.Position()) {
		return read, fromPlatform
	}
	return newest, fromPeers
}

// awaitFirst waits for the first declaration. Daemons that are chosen to watch the
// store do so; the others wait to be told.
func (f *Follower) awaitFirst(ctx context.Context) {
	wait.Sleep(ctx, joinTime)
	end := time.Now().Add(firstDeclaration)
	for !f.Serving() && ctx.Err() == nil && time.Now().Before(end) {
		if !f.chosen() {
			wait.Sleep(ctx, firstBackoff)
			continue
		}
		// The first source is the one that operators declare by. An error comes
		// again with the next reading.
		document, err := f.options.Sources[0].Watch(ctx, config.Document{}, time.Until(end))
		if err != nil || f.Offer(document, fromPlatform) != nil || f.Revision() > 0 {
			return
		}
	}
}

// takeFromPeers puts the newest document of a few peers in force and says whether
// any had one.
func (f *Follower) takeFromPeers(ctx context.Context) bool {
	newest := f.askPeers(ctx, config.Document{}, startPeers)
	if newest.Position() == (config.Position{}) {
		return false
	}
	if err := f.Offer(newest, fromPeers); err != nil {
		f.log.Error("configuration of the peers not usable", "error", err)
		return false
	}
	return true
}

// askPeers returns a document with what is newer at peers, of which it asks until so many have answered.
func (f *Follower) askPeers(ctx context.Context, newest config.Document, most int) config.Document {
	seeds := f.options.Seeds(ctx)
	f.randomMu.Lock()
	f.options.Random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	f.randomMu.Unlock()
	answered := 0
	for _, address := range seeds {
		document, err := f.peers.FetchDocument(ctx, address, newest)
		if err != nil {
			continue
		}
		newest, _ = newest.MergeNewest(document)
		if answered++; answered >= most {
			break
		}
	}
	return newest
}
