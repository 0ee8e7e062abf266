package operation_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/operation"
	"github.com/tuliphall/tuliphall/resultcode"
)

// faultyStore is a slow store that fails calls, and loses the responses of writes that took effect.
type faultyStore struct {
	*objectstore.Memory
	mutex            sync.Mutex
	random           *rand.Rand
	responseLossRate float64 // share of writes whose response is lost
	failureRate      float64 // share of writes that fail
	writes           int
}

func (s *faultyStore) draw(share float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < share
}

// Put implements objectstore.Store.
func (s *faultyStore) Put(ctx context.Context, key objectstore.Key, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	time.Sleep(5 * time.Millisecond)
	if s.draw(s.failureRate) {
		return 0, objectstore.ErrUnavailable
	}
	s.mutex.Lock()
	s.writes++
	s.mutex.Unlock()
	version, err := s.Memory.Put(ctx, key, value, expected)
	if s.draw(s.responseLossRate) {
		return 0, objectstore.ErrOutcomeUnknown
	}
	return version, err
}

func (s *faultyStore) written() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writes
}

func newClaimer(store objectstore.Store) *operation.Claimer {
	return operation.NewClaimer(operation.Options{
		Store: store, WriteLimiter: rate.NewLimiter(100, 1), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// claimEvent is the input and output of one operation in a history.
type claimEvent struct {
	key     string
	release bool // the operation releases the claim of the one before it
	claimed bool
}

// model allows a key to be claimed once until it is released. A refused claim is always allowed, as
// it guarantees nothing.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(claimEvent).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		taken := state.(bool)
		switch {
		case input.(claimEvent).release:
			return true, false
		case !output.(claimEvent).claimed:
			return true, taken
		}
		return !taken, true
	},
}

// TestClaimsAreLinearizable has daemons claim the same keys concurrently, with a store that loses
// responses, and checks the history for linearizability.
func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			store := &faultyStore{Memory: objectstore.NewMemory(), random: rand.New(rand.NewPCG(seed, 1)), responseLossRate: 0.2, failureRate: 0.1}
			history := claimConcurrently(t, store, seed)
			require.True(t, porcupine.CheckOperations(model, history), "seed %d", seed)
		})
	}
}

// claimConcurrently runs three daemons with two callers each, which claim a few keys concurrently.
func claimConcurrently(t *testing.T, store objectstore.Store, seed uint64) []porcupine.Operation {
	var mutex sync.Mutex
	var history []porcupine.Operation
	record := func(client int, called time.Time, input, output claimEvent) {
		mutex.Lock()
		defer mutex.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: input, Output: output, Call: called.UnixNano(), Return: time.Now().UnixNano()})
	}
	var callers sync.WaitGroup
	claimed := 0
	for daemon := range 3 {
		claimer := newClaimer(store)
		defer claimer.Close(t.Context())
		for caller := range 2 {
			client := daemon*2 + caller
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			callers.Go(func() {
				for range 15 {
					key := fmt.Sprint("key-", random.IntN(12))
					called := time.Now()
					claim, _, _ := claimer.Claim(t.Context(), "swaps", key, 1)
					record(client, called, claimEvent{key: key}, claimEvent{claimed: claim != nil})
					if claim == nil {
						continue
					}
					mutex.Lock()
					claimed++
					mutex.Unlock()
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
					if random.IntN(3) == 0 {
						called = time.Now()
						claim.Release()
						record(client, called, claimEvent{key: key, release: true}, claimEvent{})
						continue
					}
					claim.Finish(operation.Result{Status: 200, Complete: true})
				}
			})
		}
	}
	callers.Wait()
	require.Positive(t, claimed)
	return history
}

// TestModelRejectsDoubleClaim checks that the model rejects a history in which a key is claimed twice. It guards
// against a check that can never fail.
func TestModelRejectsDoubleClaim(t *testing.T) {
	twice := []porcupine.Operation{
		{ClientId: 0, Input: claimEvent{key: "a"}, Output: claimEvent{claimed: true}, Call: 0, Return: 1},
		{ClientId: 1, Input: claimEvent{key: "a"}, Output: claimEvent{claimed: true}, Call: 2, Return: 3},
	}
	require.False(t, porcupine.CheckOperations(model, twice))
}

// TestRepeatedClaimOfKey checks the replies to claims of a key that was claimed before.
func TestRepeatedClaimOfKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{Memory: objectstore.NewMemory(), random: rand.New(rand.NewPCG(1, 1))}
		first, second := newClaimer(store), newClaimer(store)
		claim, _, failure := first.Claim(t.Context(), "swaps", "key", 1)
		require.Nil(t, failure)
		_, _, failure = first.Claim(t.Context(), "swaps", "key", 1)
		require.Equal(t, resultcode.OperationInProgress, failure.Code)
		_, _, failure = second.Claim(t.Context(), "swaps", "key", 1)
		require.Equal(t, resultcode.OperationUnknown, failure.Code)
		claim.Finish(operation.Result{Status: 201, Body: []byte("done"), Complete: true})
		first.Close(t.Context())
		_, result, failure := second.Claim(t.Context(), "swaps", "key", 1)
		require.Nil(t, failure)
		require.Equal(t, "done", string(result.Body))
		_, _, failure = second.Claim(t.Context(), "swaps", "key", 2)
		require.Equal(t, resultcode.KeyReused, failure.Code)
		second.Close(t.Context())
	})
}

// TestClaimsAreBatchedAndSegmentsExpire fills many segments of the journal, has another daemon read them, and waits
// until they expire.
func TestClaimsAreBatchedAndSegmentsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{Memory: objectstore.NewMemory(), random: rand.New(rand.NewPCG(1, 1))}
		first := newClaimer(store)
		const keys = 2000
		var callers sync.WaitGroup
		for number := range keys {
			callers.Go(func() {
				claim, _, failure := first.Claim(t.Context(), "swaps", fmt.Sprint(number), 1)
				require.Nil(t, failure)
				claim.Finish(operation.Result{Status: 200, Complete: true})
			})
		}
		callers.Wait()
		time.Sleep(time.Second)
		require.Less(t, store.written(), keys/20, "claims were not batched")
		second := newClaimer(store)
		for number := range keys {
			claim, _, _ := second.Claim(t.Context(), "swaps", fmt.Sprint(number), 1)
			require.Nil(t, claim, "key %d was claimed twice", number)
		}
		segments, err := store.List(t.Context(), "operations-swaps")
		require.NoError(t, err)
		require.Greater(t, len(segments), 3)
		// Segments are removed once the retention of all their entries has passed.
		time.Sleep(operation.DefaultRetention + 10*time.Minute)
		segments, err = store.List(t.Context(), "operations-swaps")
		require.NoError(t, err)
		require.Len(t, segments, 1)
		claim, _, _ := second.Claim(t.Context(), "swaps", "1", 1)
		require.NotNil(t, claim)
		first.Close(t.Context())
		second.Close(t.Context())
	})
}

// TestClaimExpires checks that a claim that is held past its lifetime, as by a paused daemon, is invalid.
func TestClaimExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claimer := newClaimer(objectstore.NewMemory())
		claim, _, failure := claimer.Claim(t.Context(), "swaps", "key", 1)
		require.Nil(t, failure)
		require.True(t, claim.Valid())
		time.Sleep(operation.ClaimLifetime)
		require.False(t, claim.Valid())
		claimer.Close(t.Context())
	})
}

// TestClaimOfSuspendedMachineExpires suspends the machine while it holds a claim that it has not
// used. Once the claim's lifetime has passed, the claim must be invalid, although the monotonic clock
// has not advanced.
func TestClaimOfSuspendedMachineExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, suspension := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
			var offset time.Duration
			claimer := operation.NewClaimer(operation.Options{
				Store: objectstore.NewMemory(), WriteLimiter: rate.NewLimiter(100, 1), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
				Now: func() time.Time { return time.Now().Add(offset) },
			})
			claim, _, failure := claimer.Claim(t.Context(), "swaps", "key", 1)
			require.Nil(t, failure)
			offset = suspension
			require.Equal(t, suspension < operation.ClaimLifetime, claim.Valid(), suspension)
			claimer.Close(t.Context())
		}
	})
}
