package service_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/drain"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/service"
)

// firstRunDraining reports the first run of a back end as draining.
type firstRunDraining struct{}

// Draining implements service.Drains.
func (firstRunDraining) Draining(_ backend.Key, started int64) (drain.Notice, bool) {
	return drain.Notice{}, started == 1
}

// TestDrainSignalOfEarlierRunIsIgnored guards against a restarted back end getting no requests because of the
// drain signal of its earlier run.
func TestDrainSignalOfEarlierRunIsIgnored(t *testing.T) {
	document := func(revision config.Revision, started int64) config.Document {
		return config.Document{Revision: revision, Content: config.Content{
			Services:   []config.Service{{Name: "work", Slots: 2}},
			Placements: []config.Placement{{Service: "work", Backends: []config.Backend{{ID: "b1", Address: "127.0.0.1:1", Started: started}}}},
		}}
	}
	put := func(registry *service.Registry, document config.Document) {
		snapshot, err := config.NewSnapshot(document)
		require.NoError(t, err)
		require.True(t, registry.Put(snapshot))
	}
	registry := service.NewRegistry(service.Options{Drains: firstRunDraining{}, Seed: 1})
	put(registry, document(1, 1))
	work, _ := registry.Find("work")
	acquire := func() error {
		grant, err := work.Acquire(t.Context(), service.AsDispatcher(), retry.First, dispatch.Request{Weight: 1, Deadline: time.Now().Add(time.Second)})
		if err == nil {
			grant.Done(0, time.Millisecond, nil)
		}
		return err
	}
	require.Error(t, acquire(), "the first run is draining")
	put(registry, document(2, 2))
	work.RefreshDrain("b1")
	require.NoError(t, acquire())
	require.True(t, work.IsEligible("b1"))
}
