package dissemination

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/wait"
)

// loadInitial loads the first configuration from the sources or, if the store is unreachable, the
// newest that peers have. It returns once requests can be served, also if peers delivered the
// configuration meanwhile.
func (f *Follower) loadInitial(ctx context.Context) {
	backoff := initialBackoff
	if f.options.FirstStart {
		f.awaitFirstConfiguration(ctx)
	}
	for ctx.Err() == nil && !f.Serving() {
		err := f.readSources(ctx)
		if err == nil {
			return
		}
		if errors.Is(err, errors.NotFound) {
			f.log.Info("nothing declared yet")
			f.awaitFirstConfiguration(ctx)
			continue
		}
		f.log.Warn("store not read at the start, asking peers", "error", err)
		if f.loadFromPeers(ctx) {
			return
		}
		backoff = f.backOff(ctx, backoff)
	}
}

func (f *Follower) readSources(ctx context.Context) error {
	f.reading.Store(true)
	defer f.reading.Store(false)
	readCtx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	var read config.Document
	for _, source := range f.options.Sources {
		if !source.Required() {
			continue
		}
		document, err := source.Read(readCtx)
		if err != nil {
			return err
		}
		read, _ = read.MergeNewest(document)
	}
	if read.Position().Era() == 0 {
		return f.Offer(read, sourcePlatform) // the store was never restored from an older backup
	}
	return f.Offer(f.newestFromPeers(ctx, read))
}

// newestFromPeers merges what a few peers have that is newer into the document read from the
// store, which may have been restored from an older backup. It returns the result and its source.
func (f *Follower) newestFromPeers(ctx context.Context, read config.Document) (config.Document, string) {
	ctx, cancel := context.WithTimeout(ctx, startupComparisonTimeout)
	defer cancel()
	newest := f.fetchFromPeers(ctx, read, startupComparisonPeers)
	if !read.Position().Behind(newest.Position()) {
		return read, sourcePlatform
	}
	return newest, sourcePeers
}

// awaitFirstConfiguration waits for the first configuration. Daemons selected as watchers watch
// the store; the others wait to be notified.
func (f *Follower) awaitFirstConfiguration(ctx context.Context) {
	wait.Sleep(ctx, joinDelay)
	deadline := time.Now().Add(initialConfigurationWait)
	for !f.Serving() && ctx.Err() == nil && time.Now().Before(deadline) {
		if !f.shouldWatch() {
			wait.Sleep(ctx, initialBackoff)
			continue
		}
		// Operators declare configuration through the first source. The next read reports any
		// error again.
		document, err := f.options.Sources[0].Watch(ctx, config.Document{}, time.Until(deadline))
		if err != nil || f.Offer(document, sourcePlatform) != nil || f.Revision() > 0 {
			return
		}
	}
}

// loadFromPeers applies the newest document of a few peers and reports whether any had one.
func (f *Follower) loadFromPeers(ctx context.Context) bool {
	newest := f.fetchFromPeers(ctx, config.Document{}, startupPeers)
	if newest.Position() == (config.Position{}) {
		return false
	}
	if err := f.Offer(newest, sourcePeers); err != nil {
		f.log.Error("configuration from peers not usable", "error", err)
		return false
	}
	return true
}

// fetchFromPeers merges what is newer at peers into a document. It queries the seeds in random
// order until maxAnswers of them have answered.
func (f *Follower) fetchFromPeers(ctx context.Context, newest config.Document, maxAnswers int) config.Document {
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
		if answered++; answered >= maxAnswers {
			break
		}
	}
	return newest
}
