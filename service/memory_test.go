package service_test

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/service"
)

// heapInUse returns the number of heap bytes in use.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// allocatedBytes returns the number of bytes that a function allocates.
func allocatedBytes(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// documentWithBackends returns a document with three services and the given total of listed back ends.
func documentWithBackends(backends int) config.Document {
	document := config.Document{Revision: 1}
	for service := range 3 {
		document.Content.Services = append(document.Content.Services, config.Service{Name: fmt.Sprintf("work-%d", service), RoutesOnly: true, MaxLoad: 1})
	}
	document.Directory.Revision = 1
	for number := range backends {
		document.Directory.Entries = append(document.Directory.Entries, config.DirectoryEntry{
			Service: fmt.Sprintf("work-%d", number%3), Revision: 1,
			Backend: config.Backend{
				ID: fmt.Sprintf("i-%08x", number), Address: fmt.Sprintf("10.%d.%d.%d:8080", number>>16, number>>8&255, number&255),
				Zone: fmt.Sprintf("zone-%d", number%6), Version: "v1", Slots: 3, Connections: 8, Warm: true, Started: 1_700_000_000_000,
			},
		})
	}
	return document
}

// TestStandbyMemoryIsBounded guards against a daemon spending much memory on back ends for which it grants
// no permits: with 10,000 back ends in force, the heap per back end and the allocation of a change to
// one of them are bounded.
func TestStandbyMemoryIsBounded(t *testing.T) {
	const backends = 10_000
	before := heapInUse()
	document := documentWithBackends(backends)
	snapshot, err := config.NewSnapshot(document)
	require.NoError(t, err)
	registry := service.NewRegistry(service.Options{Network: network.TCP{}, Seed: 1, Log: slog.New(slog.DiscardHandler)})
	require.True(t, registry.Put(snapshot))
	heapPerBackend := (heapInUse() - before) / backends

	changed := document.Directory.Entries[7]
	changed.Drained = true
	var next *config.Snapshot
	changeBytes := allocatedBytes(func() {
		later := document
		later.Directory, _, err = document.Directory.ApplyChange(config.DirectoryChange{After: 1, Revision: 2, Entries: []config.DirectoryEntry{changed}})
		require.NoError(t, err)
		next, err = snapshot.Next(later)
		require.NoError(t, err)
		require.True(t, registry.Put(next))
	}) / backends
	t.Logf("heap per back end: %d bytes, allocated by a change per back end: %d", heapPerBackend, changeBytes)
	require.Less(t, heapPerBackend, uint64(500), "2,322 with a client and routing state for each back end")
	require.Less(t, changeBytes, uint64(300), "1,770 with all services rebuilt")

	work, known := registry.Find("work-1")
	require.True(t, known)
	require.False(t, work.IsEligible(changed.ID), "it is drained")
	require.True(t, work.IsEligible(document.Directory.Entries[10].ID))
	client, _ := work.Client(document.Directory.Entries[10].ID)
	require.NotNil(t, client)
	grant, err := work.Acquire(context.Background(), service.AsDispatcher(), retry.First, dispatch.Request{Weight: 1, Deadline: time.Now().Add(time.Second)})
	require.NoError(t, err, "it grants permits on demand")
	require.NotEqual(t, changed.ID, grant.Backend.ID)
	runtime.KeepAlive(next)
}

// TestNextSnapshotEqualsRebuiltOne guards against a snapshot derived from an earlier one differing from
// a newly built one, as back ends are added, changed, moved to another service and removed.
func TestNextSnapshotEqualsRebuiltOne(t *testing.T) {
	document := documentWithBackends(9)
	snapshot, err := config.NewSnapshot(document)
	require.NoError(t, err)
	changes := []func(listed []config.DirectoryEntry) []config.DirectoryEntry{
		func(listed []config.DirectoryEntry) []config.DirectoryEntry { listed[4].Drained = true; return listed },
		func(all []config.DirectoryEntry) []config.DirectoryEntry { all[2].Service = "work-0"; return all },
		func(listed []config.DirectoryEntry) []config.DirectoryEntry { return listed[:len(listed)-1] },
		func(listed []config.DirectoryEntry) []config.DirectoryEntry { return listed[1:] },
		func(listed []config.DirectoryEntry) []config.DirectoryEntry {
			return append(listed, config.DirectoryEntry{Service: "work-2", Backend: config.Backend{ID: "z", Address: "10.0.0.1:80", Slots: 1}})
		},
		func(listed []config.DirectoryEntry) []config.DirectoryEntry { return nil },
	}
	for number, change := range changes {
		document.Directory.Entries = change(append([]config.DirectoryEntry(nil), document.Directory.Entries...))
		document.Directory.Revision++
		snapshot, err = snapshot.Next(document)
		require.NoError(t, err)
		rebuilt, err := config.NewSnapshot(document)
		require.NoError(t, err)
		for index, target := range rebuilt.Targets {
			require.Equal(t, target.Backends, snapshot.Targets[index].Backends, "change %d", number)
		}
	}
	document.Revision++
	document.Content.Services = document.Content.Services[:1]
	snapshot, err = snapshot.Next(document)
	require.NoError(t, err)
	require.Len(t, snapshot.Targets, 1)
}
