package daemon

import (
	"context"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/objectstore"
)

// requestHeadRestore requests that changes in force that the head object lacks be written again. It does not block.
func (d *Daemon) requestHeadRestore() {
	select {
	case d.headRestore <- struct{}{}:
	default: // already requested, or the configuration has another source
	}
}

// restoreHead writes changes again that the store has lost, on each request, until ctx ends.
func (d *Daemon) restoreHead(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.headRestore:
		}
		document, err := d.editor.Restore(ctx)
		switch {
		case errors.Is(err, objectstore.ErrConflict):
			continue // another daemon or an operator has written; the next watch returns the result
		case err != nil:
			d.log.Warn("configuration that the store has lost not written again", "error", err)
			continue
		}
		d.log.Warn("configuration that the store has lost is written again", "revision", uint64(document.Revision), "stored", document.StoreVersion.String())
		if err := d.follower.Offer(document, "restored"); err != nil {
			d.log.Error("restored configuration is not usable", "error", err)
		}
	}
}
