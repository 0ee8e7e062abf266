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

// oneService is a service whose rollout has come to an end that is not on record yet.
type oneService struct {
	mutex    sync.Mutex
	recorded config.RolloutPhase
}

func (s *oneService) Recorded() (config.Rollout, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return config.Rollout{Service: "board", Version: "v2", Phase: s.recorded}, true
}

func (s *oneService) Step() config.Rollout {
	return config.Rollout{Service: "board", Version: "v2", Phase: config.RolloutCompleted}
}

// shakyStore takes as long for each write as it is told, and refuses the first ones.
type shakyStore struct {
	service *oneService
	takes   time.Duration
	refuses int
	asked   int
}

func (s *shakyStore) RecordRollout(ctx context.Context, rollout config.Rollout) error {
	s.service.mutex.Lock()
	s.asked++
	refused := s.asked <= s.refuses
	s.service.mutex.Unlock()
	if refused {
		return errors.New("store unavailable")
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.takes):
	}
	s.service.mutex.Lock()
	defer s.service.mutex.Unlock()
	s.service.recorded = rollout.Phase
	return nil
}

// TestRecordReachesTheStore writes a phase until the store has it: again soon where it refuses a write, and
// with patience where it is slow.
func TestRecordReachesTheStore(t *testing.T) {
	for name, one := range map[string]struct {
		store       shakyStore
		within      time.Duration
		mostWritten int
	}{
		"at once":                      {within: 200 * time.Millisecond, mostWritten: 1},
		"slow":                         {store: shakyStore{takes: 1700 * time.Millisecond}, within: 2 * time.Second, mostWritten: 1},
		"it refuses the first":         {store: shakyStore{refuses: 1}, within: 700 * time.Millisecond, mostWritten: 2},
		"it refuses for three seconds": {store: shakyStore{refuses: 6}, within: 4 * time.Second, mostWritten: 7},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				service := &oneService{recorded: config.RolloutMoving}
				store := one.store
				store.service = service
				keeper := NewRunner(Options{Services: func() map[string]Service { return map[string]Service{"board": service} }, Recorder: &store, Log: slog.New(slog.DiscardHandler)})
				go keeper.Run(ctx)
				time.Sleep(one.within)
				synctest.Wait()
				recorded, _ := service.Recorded()
				require.Equal(t, config.RolloutCompleted, recorded.Phase)
				require.LessOrEqual(t, store.asked, one.mostWritten)
			})
		})
	}
}
