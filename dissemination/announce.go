package dissemination

import (
	"context"
	"time"

	"github.com/tuliphall/tuliphall/wait"
)

// announceInterval is the least time between two announcements of a daemon: changes
// that come in quick succession are told together.
const announceInterval = 50 * time.Millisecond

// announce lets members be told of news, from the store or from another daemon. It
// does not block.
func (f *Follower) announce(fromStore bool) {
	queue := f.toPassOn
	if fromStore {
		queue = f.toAnnounce
	}
	select {
	case queue <- struct{}{}:
	default: // it is already asked for
	}
}

// announceLoop tells members of news until ctx ends.
func (f *Follower) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.toAnnounce:
			if !f.announceToOwn(ctx) && f.standIn.active.Load() {
				f.peers.Relay(ctx)
			}
		case <-f.toPassOn:
			f.announceToOwn(ctx)
			f.peers.Relay(ctx)
		}
		wait.Sleep(ctx, announceInterval)
	}
}

// announceToOwn tells the members that this daemon is to tell of news from the store, and says whether it is
// to tell any. It does also where another daemon told it: the store may not tell this one for a while, as it
// pauses after news. Where only those told theirs that the store had told, the last of 20 daemons heard
// of a second change up to 0.7 s after the first one had; now within 0.1 s (TestNewsRightAfterNews).
func (f *Follower) announceToOwn(ctx context.Context) bool {
	if !f.placed() {
		return false
	}
	f.peers.Announce(ctx, WatcherKey, f.options.Watchers)
	return true
}
