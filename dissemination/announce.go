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
			switch {
			case f.placed():
				f.peers.Announce(ctx, WatchDuty, f.options.Watchers)
			case f.standIn.active.Load():
				f.peers.PassOn(ctx)
			}
		case <-f.toPassOn:
			f.peers.PassOn(ctx)
		}
		wait.Sleep(ctx, announceInterval)
	}
}
