// Package claims measures how many operations per second one daemon claims and completes
// in the operation journal of a store.
package claims

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/operation"
)

// storeLatency is the duration of one write to the platform's store.
const storeLatency = 5 * time.Millisecond

// slowStore is an in-memory store that delays writes by storeLatency and counts them.
type slowStore struct {
	*objectstore.Memory
	writes atomic.Int64
	bytes  atomic.Int64
}

// Put implements objectstore.Store.
func (s *slowStore) Put(ctx context.Context, key objectstore.Key, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	time.Sleep(storeLatency)
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	return s.Memory.Put(ctx, key, value, expected)
}

// Result is the throughput of one daemon with a number of concurrent callers.
type Result struct {
	WriteLimit          float64 `json:"writes_limit_per_second"`
	Callers             int     `json:"callers"`
	OperationsPerSecond float64 `json:"operations_per_second"`
	WritesPerSecond     float64 `json:"writes_per_second"`
	BytesPerSecond      float64 `json:"bytes_written_per_second"`
	MeanClaimMS         float64 `json:"mean_claim_ms"`
}

// Measure lets concurrent callers claim and finish operations one after another for the given duration, with
// a limit on writes per second.
func Measure(writeLimit float64, callers int, duration time.Duration) Result {
	store := &slowStore{Memory: objectstore.NewMemory()}
	claimer := operation.NewClaimer(operation.Options{
		Store: store, WriteLimiter: rate.NewLimiter(rate.Limit(writeLimit), 1), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var claimed, claimTime atomic.Int64
	var running sync.WaitGroup
	startedAt := time.Now()
	for caller := range callers {
		running.Go(func() {
			for sequence := 0; ctx.Err() == nil; sequence++ {
				claimStart := time.Now()
				claim, _, _ := claimer.Claim(ctx, "swaps", fmt.Sprintf("%d-%d", caller, sequence), 1)
				if claim == nil {
					continue
				}
				claimTime.Add(int64(time.Since(claimStart)))
				claimed.Add(1)
				claim.Finish(operation.Result{Status: 200, Complete: true})
			}
		})
	}
	running.Wait()
	elapsed := time.Since(startedAt).Seconds()
	claimer.Close(context.Background())
	return Result{
		WriteLimit: writeLimit, Callers: callers, OperationsPerSecond: float64(claimed.Load()) / elapsed, WritesPerSecond: float64(store.writes.Load()) / elapsed,
		BytesPerSecond: float64(store.bytes.Load()) / elapsed, MeanClaimMS: float64(claimTime.Load()) / float64(max(claimed.Load(), 1)) / float64(time.Millisecond),
	}
}
