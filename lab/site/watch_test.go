package site_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lab/site"
)

type netConn = net.Conn

// revisionWatch follows the revisions in force while a test runs.
type revisionWatch struct {
	done chan struct{}
	end  sync.WaitGroup
}

// watchRevisions looks at every daemon all the time: none may go back to an older
// revision.
func watchRevisions(t *testing.T, running *site.Site) *revisionWatch {
	watch := &revisionWatch{done: make(chan struct{})}
	watch.end.Go(func() {
		seen := make(map[any]config.Revision)
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-watch.done:
				return
			case <-ticker.C:
			}
			for name, one := range running.Daemons() {
				revision := one.Document().Revision
				assert.GreaterOrEqual(t, revision, seen[one], "daemon %s went back", name)
				seen[one] = revision
			}
		}
	})
	return watch
}

func (w *revisionWatch) stop() {
	close(w.done)
	w.end.Wait()
}
