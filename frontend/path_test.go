package frontend

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// stubPaths are the paths of a daemon to back ends at one address.
type stubPaths struct {
	allPaths
	bypassed    bool
	cutOffSince time.Time
}

func (p stubPaths) Bypassed(string) bool   { return p.bypassed || !p.cutOffSince.IsZero() }
func (p stubPaths) CutOffSince() time.Time { return p.cutOffSince }

// TestFailedPathIsNotHeldAgainstBackend guards against ejecting a back end for all daemons because requests of one that
// has lost the path to it are not answered.
func TestFailedPathIsNotHeldAgainstBackend(t *testing.T) {
	services := newTestRegistry(t, &config.Document{Revision: 1, Content: config.Content{
		Services:   []config.Service{{Name: "work", Hosts: []string{"*"}}},
		Placements: []config.Placement{{Service: "work", Backends: []config.Backend{{ID: "b1", Address: "127.0.0.1:1", Slots: 1}}}},
	}})
	work, found := services.Find("work")
	require.True(t, found)
	lost, cutOff := stubPaths{bypassed: true}, stubPaths{cutOffSince: time.Now()}
	for _, test := range []struct {
		name    string
		paths   Paths
		relayed bool
		code    resultcode.Code
		want    routing.Outcome
	}{
		{"deadline, path in order", stubPaths{}, false, resultcode.DeadlineExceeded, routing.Unserved},
		{"deadline, path lost", lost, false, resultcode.DeadlineExceeded, routing.Unreached},
		{"deadline, cut off", cutOff, false, resultcode.DeadlineExceeded, routing.Unreached},
		{"deadline, path lost, relayed", lost, true, resultcode.DeadlineExceeded, routing.Unserved},
		{"caller gone, path in order", stubPaths{}, false, resultcode.CallerGoneAfterSend, routing.Canceled},
		{"caller gone, path lost", lost, false, resultcode.CallerGoneAfterSend, routing.Unreached},
		{"caller gone, cut off, relayed", cutOff, true, resultcode.CallerGoneAfterSend, routing.Unreached},
		{"no connection, path in order", stubPaths{}, false, resultcode.ConnectFailed, routing.NoContact},
		{"no connection, path lost", lost, false, resultcode.ConnectFailed, routing.Unreached},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := &attempter{handler: &Handler{options: Options{Paths: test.paths, Relay: noRelay{}}}, call: &call{service: work}}
			failed := &backend.Failure{Code: test.code, Cause: errors.New("failed")}
			require.Equal(t, test.want, a.outcomeOfFailure(&grantedPermit{backend: "b1", relayed: test.relayed}, failed))
		})
	}
}
