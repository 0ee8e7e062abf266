package daemon

import (
	"context"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/objectstore"
)

// lostHead notes that the head object lacks changes that are in force. It does not block.
func (d *Daemon) lostHead() {
	select {
	case d.headLost <- struct{}{}:
	default: // it is asked for, or operators declare elsewhere
	}
}

// restoreHead writes changes again that the store has lost, until ctx ends.
func (d *Daemon) restoreHead(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.headLost:
		}
		document, err := d.editor.Restore(ctx)
		switch {
		case errors.Is(err, objectstore.ErrConflict):
			continue // another daemon was faster, or an operator: the next watch shows what is there
		case err != nil:
			d.log.Warn("configuration that the store has lost not written again", "error", err)
			continue
		}
		d.log.Warn("configuration that the store has lost is written again", "revision", uint64(document.Revision), "stored", document.StoreVersion.String())
		if err := d.follower.Offer(document, "restored"); err != nil {
			d.log.Error("restored configuration not usable", "error", err)
		}
	}
}
