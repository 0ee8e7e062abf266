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

// revisionWatch polls the revisions in force while a test runs.
type revisionWatch struct {
	done    chan struct{}
	running sync.WaitGroup
}

// assertMonotonicRevisions fails the test if a daemon returns to an older revision.
func assertMonotonicRevisions(t *testing.T, running *site.Site) *revisionWatch {
	return watchRevisionChanges(running, func(name string, was, is config.Revision) {
		assert.Fail(t, "revision went backwards", "%s from revision %d to %d", name, was, is)
	})
}

// recordRevisionRegressions adds a problem to a random schedule if a daemon returns to an older revision.
func recordRevisionRegressions(w *faultRun) *revisionWatch {
	return watchRevisionChanges(w.site, func(name string, was, is config.Revision) {
		w.addProblem("%s returned from revision %d to %d", name, was, is)
	})
}

const revisionPollInterval = 50 * time.Millisecond

func watchRevisionChanges(running *site.Site, report func(name string, was, is config.Revision)) *revisionWatch {
	watch := &revisionWatch{done: make(chan struct{})}
	watch.running.Go(func() {
		seen := make(map[*daemon.Daemon]config.Revision)
		ticker := time.NewTicker(revisionPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-watch.done:
				return
			case <-ticker.C:
			}
			for name, member := range running.Daemons() {
				revision := member.Document().Revision
				if revision < seen[member] {
					report(name, seen[member], revision)
				}
				seen[member] = revision
			}
		}
	})
	return watch
}

func (w *revisionWatch) stop() {
	close(w.done)
	w.running.Wait()
}
