package rollout

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
)

// fakeService is a service whose rollout has been completed, which is not recorded yet.
type fakeService struct {
	mutex    sync.Mutex
	recorded config.RolloutPhase
}

func (s *fakeService) Recorded() (config.Rollout, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return config.Rollout{Service: "board", Version: "v2", Phase: s.recorded}, true
}

func (s *fakeService) Step() config.Rollout {
	return config.Rollout{Service: "board", Version: "v2", Phase: config.RolloutCompleted}
}

// unreliableStore is a store whose first writes fail and whose other writes are delayed.
type unreliableStore struct {
	service  *fakeService
	delay    time.Duration
	failures int
	writes   int
}

func (s *unreliableStore) RecordRollout(ctx context.Context, rollout config.Rollout) error {
	s.service.mutex.Lock()
	s.writes++
	failed := s.writes <= s.failures
	s.service.mutex.Unlock()
	if failed {
		return errors.New("store unavailable")
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.delay):
	}
	s.service.mutex.Lock()
	defer s.service.mutex.Unlock()
	s.service.recorded = rollout.Phase
	return nil
}

// TestPhaseIsRecorded verifies that a failed write of a phase is soon retried until it succeeds, and that a slow write
// is not repeated.
func TestPhaseIsRecorded(t *testing.T) {
	for name, test := range map[string]struct {
		store     unreliableStore
		within    time.Duration
		maxWrites int
	}{
		"store available":               {within: 200 * time.Millisecond, maxWrites: 1},
		"store slow":                    {store: unreliableStore{delay: 1700 * time.Millisecond}, within: 2 * time.Second, maxWrites: 1},
		"first write fails":             {store: unreliableStore{failures: 1}, within: 700 * time.Millisecond, maxWrites: 2},
		"writes fail for three seconds": {store: unreliableStore{failures: 6}, within: 4 * time.Second, maxWrites: 7},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				service := &fakeService{recorded: config.RolloutMoving}
				store := test.store
				store.service = service
				runner := NewRunner(Options{Services: func() map[string]Service { return map[string]Service{"board": service} }, Recorder: &store, Log: slog.New(slog.DiscardHandler)})
				go runner.Run(ctx)
				time.Sleep(test.within)
				synctest.Wait()
				recorded, _ := service.Recorded()
				require.Equal(t, config.RolloutCompleted, recorded.Phase)
				require.LessOrEqual(t, store.writes, test.maxWrites)
			})
		})
	}
}
