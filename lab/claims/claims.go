// Package claims measures how many operations a second one daemon claims and settles in the
// journal of a store.
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

// storeLatency is what one write to the platform's store takes.
const storeLatency = 5 * time.Millisecond

// slowStore answers writes after storeLatency and counts them.
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

// Result is how many operations one daemon claims and settles.
type Result struct {
	WriteLimit          float64 `json:"writes_limit_per_second"`
	Callers             int     `json:"callers"`
	OperationsPerSecond float64 `json:"operations_per_second"`
	WritesPerSecond     float64 `json:"writes_per_second"`
	BytesPerSecond      float64 `json:"bytes_written_per_second"`
	MeanClaimMS         float64 `json:"mean_claim_ms"`
}

// Measure lets callers claim and finish operations one after another.
func Measure(writes float64, callers int, length time.Duration) Result {
	store := &slowStore{Memory: objectstore.NewMemory()}
	executor := operation.NewClaimer(operation.Options{
		Store: store, WriteLimiter: rate.NewLimiter(rate.Limit(writes), 1), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var done, waited atomic.Int64
	var running sync.WaitGroup
	begun := time.Now()
	for caller := range callers {
		running.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				called := time.Now()
				claim, _, _ := executor.Claim(ctx, "swaps", fmt.Sprintf("%d-%d", caller, number), 1)
				if claim == nil {
					continue
				}
				waited.Add(int64(time.Since(called)))
				done.Add(1)
				claim.Finish(operation.Result{Status: 200, Complete: true})
			}
		})
	}
	running.Wait()
	elapsed := time.Since(begun).Seconds()
	executor.Close(context.Background())
	return Result{
		WriteLimit: writes, Callers: callers, OperationsPerSecond: float64(done.Load()) / elapsed, WritesPerSecond: float64(store.writes.Load()) / elapsed,
		BytesPerSecond: float64(store.bytes.Load()) / elapsed, MeanClaimMS: float64(waited.Load()) / float64(max(done.Load(), 1)) / float64(time.Millisecond),
	}
}
