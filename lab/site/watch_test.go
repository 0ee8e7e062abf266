package site_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/daemon"
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
	return watchSite(running, func(name string, was, is config.Revision) {
		assert.Fail(t, "a daemon went back", "%s from revision %d to %d", name, was, is)
	})
}

// watchProblems does the same for a random schedule.
func watchProblems(w *world) *revisionWatch {
	return watchSite(w.site, func(name string, was, is config.Revision) {
		w.problem("%s went back from revision %d to %d", name, was, is)
	})
}

const watchInterval = 50 * time.Millisecond

func watchSite(running *site.Site, report func(name string, was, is config.Revision)) *revisionWatch {
	watch := &revisionWatch{done: make(chan struct{})}
	watch.end.Go(func() {
		seen := make(map[*daemon.Daemon]config.Revision)
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-watch.done:
				return
			case <-ticker.C:
			}
			for name, one := range running.Daemons() {
				revision := one.Document().Revision
				if revision < seen[one] {
					report(name, seen[one], revision)
				}
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
