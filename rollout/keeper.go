package rollout

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/logging"
)

// Timing of a keeper.
const (
	// stepInterval is how often it is looked whether a rollout goes on.
	stepInterval = 100 * time.Millisecond
	// recordAgain is after how long a record is written again that has not come back as news.
	recordAgain = 2 * time.Second
	// recordTimeout bounds one write. A store that is slow takes up to two seconds.
	recordTimeout = 2 * time.Second
	// recordRetry is after how long a write is made again that failed: what is decided must be on record
	// when it is due. With 2 s, a store that refused one write had the record 2.1 s later.
	recordRetry = 500 * time.Millisecond
)

// Service is a service with a rollout, as a Keeper sees it. No method blocks.
type Service interface {
	// Recorded returns the order as it is on record, and false where there is none.
	Recorded() (config.Rollout, bool)
	// Step lets the rollout go on if it is time to, and returns how far it is.
	Step() config.Rollout
}

// Recorder writes how far a rollout is, unless its record has changed since. It may block.
type Recorder interface {
	RecordRollout(ctx context.Context, rollout config.Rollout) error
}

// Options are a Keeper's collaborators.
type Options struct {
	// Services returns the services that this daemon dispatches. It must not block.
	Services func() map[string]Service
	Recorder Recorder
	Log      *slog.Logger
}

// Runner lets the rollouts of the services go on that its daemon dispatches, and records that.
type Runner struct {
	options Options
	log     *slog.Logger

	mutex sync.Mutex
	next  map[string]time.Time // when the record of a service may be written again
}

// NewRunner returns a keeper that has recorded nothing.
func NewRunner(options Options) *Runner {
	return &Runner{options: options, log: logging.Part(options.Log, "rollout"), next: make(map[string]time.Time)}
}

// Run lets rollouts go on until ctx ends.
func (k *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	var writing sync.WaitGroup
	defer writing.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for name, service := range k.options.Services() {
			if rollout, due := k.step(name, service); due {
				writing.Go(func() { k.record(ctx, rollout) })
			}
		}
	}
}

// step lets a rollout go on, and says whether its record is to be written now.
func (k *Runner) step(name string, service Service) (config.Rollout, bool) {
	recorded, ordered := service.Recorded()
	var decided config.Rollout
	if ordered {
		decided = service.Step()
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !ordered || !recorded.Phase.Before(decided.Phase) {
		delete(k.next, name)
		return config.Rollout{}, false
	}
	now := time.Now()
	if now.Before(k.next[name]) {
		return config.Rollout{}, false
	}
	k.next[name] = now.Add(recordAgain)
	return decided, true
}

// writeSoon lets a record be written again soon, unless it is not to be written any more.
func (k *Runner) writeSoon(name string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if _, due := k.next[name]; due {
		k.next[name] = time.Now().Add(recordRetry)
	}
}

func (k *Runner) record(ctx context.Context, rollout config.Rollout) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	attributes := []any{"service", rollout.Service, "version", rollout.Version, "phase", string(rollout.Phase), "reason", rollout.Reason}
	if err := k.options.Recorder.RecordRollout(ctx, rollout); err != nil {
		k.log.Warn("phase not recorded, tried again", append(attributes, "error", err)...)
		k.writeSoon(rollout.Service)
		return
	}
	k.log.Info("phase recorded", attributes...)
}
