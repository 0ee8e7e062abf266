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

// revisionMonitor polls the revisions in force at the daemons while a test runs.
type revisionMonitor struct {
	done    chan struct{}
	running sync.WaitGroup
}

// assertMonotonicRevisions fails the test if a daemon returns to an older revision.
func assertMonotonicRevisions(t *testing.T, running *site.Site) *revisionMonitor {
	return monitorRevisions(running, func(name string, previous, current config.Revision) {
		assert.Fail(t, "revision went backwards", "%s from revision %d to %d", name, previous, current)
	})
}

// recordRevisionRegressions adds a problem to a random schedule if a daemon returns to an older revision.
func recordRevisionRegressions(r *faultRun) *revisionMonitor {
	return monitorRevisions(r.site, func(name string, previous, current config.Revision) {
		r.addProblem("%s returned from revision %d to %d", name, previous, current)
	})
}

const revisionPollInterval = 50 * time.Millisecond

func monitorRevisions(running *site.Site, report func(name string, previous, current config.Revision)) *revisionMonitor {
	monitor := &revisionMonitor{done: make(chan struct{})}
	monitor.running.Go(func() {
		seen := make(map[*daemon.Daemon]config.Revision)
		ticker := time.NewTicker(revisionPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-monitor.done:
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
	return monitor
}

func (r *revisionMonitor) stop() {
	close(r.done)
	r.running.Wait()
}
