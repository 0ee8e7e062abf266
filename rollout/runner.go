package rollout

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/logging"
)

// Timing of a Runner.
const (
	// stepInterval is how often each rollout is checked for its next phase.
	stepInterval = 100 * time.Millisecond
	// rewriteInterval is how long after a write the record is written again if the store has not returned it.
	rewriteInterval = 2 * time.Second
	// recordTimeout bounds one write. A slow store takes up to two seconds.
	recordTimeout = 2 * time.Second
	// recordRetryDelay is how long after a failed write the record is written again: the decision must be
	// recorded by its due time. With 2 s, a store that refused one write had the record 2.1 s later.
	recordRetryDelay = 500 * time.Millisecond
)

// Service is a service with a rollout, as a Runner sees it. No method blocks.
type Service interface {
	// Recorded returns the order as recorded, or false if there is none.
	Recorded() (config.Rollout, bool)
	// Step enters the next phase of the rollout if it is time to, and returns the order with its phase.
	Step() config.Rollout
}

// Recorder writes the state of a rollout, unless its record has changed in the meantime. It may block.
type Recorder interface {
	RecordRollout(ctx context.Context, rollout config.Rollout) error
}

// Options are the dependencies of a Runner.
type Options struct {
	// Services returns the services that this daemon dispatches. It must not block.
	Services func() map[string]Service
	Recorder Recorder
	Log      *slog.Logger
}

// Runner steps the rollouts of the services that its daemon dispatches, and records their phases.
type Runner struct {
	options Options
	log     *slog.Logger

	mutex     sync.Mutex
	nextWrite map[string]time.Time // earliest time of the next write, by service
}

// NewRunner returns a runner that has recorded nothing.
func NewRunner(options Options) *Runner {
	return &Runner{options: options, log: logging.Component(options.Log, "rollout"), nextWrite: make(map[string]time.Time)}
}

// Run steps the rollouts until ctx ends.
func (r *Runner) Run(ctx context.Context) {
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
		for name, service := range r.options.Services() {
			if rollout, due := r.step(name, service); due {
				writing.Go(func() { r.record(ctx, rollout) })
			}
		}
	}
}

// step steps one rollout, and returns whether its record must be written now.
func (r *Runner) step(name string, service Service) (config.Rollout, bool) {
	recorded, ordered := service.Recorded()
	var decided config.Rollout
	if ordered {
		decided = service.Step()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !ordered || !recorded.Phase.Before(decided.Phase) {
		delete(r.nextWrite, name)
		return config.Rollout{}, false
	}
	now := time.Now()
	if now.Before(r.nextWrite[name]) {
		return config.Rollout{}, false
	}
	r.nextWrite[name] = now.Add(rewriteInterval)
	return decided, true
}

// retrySoon schedules the next write after a failed one, unless none is pending any more.
func (r *Runner) retrySoon(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, due := r.nextWrite[name]; due {
		r.nextWrite[name] = time.Now().Add(recordRetryDelay)
	}
}

func (r *Runner) record(ctx context.Context, rollout config.Rollout) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	attributes := []any{"service", rollout.Service, "version", rollout.Version, "phase", string(rollout.Phase), "reason", rollout.Reason}
	if err := r.options.Recorder.RecordRollout(ctx, rollout); err != nil {
		r.log.Warn("failed to record the phase; retrying", append(attributes, "error", err)...)
		r.retrySoon(rollout.Service)
		return
	}
	r.log.Info("phase recorded", attributes...)
}
