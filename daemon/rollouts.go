package daemon

import (
	"context"
	"crypto/rand"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/rollout"
)

// rolloutServices returns the services with a rollout of which this daemon is the dispatcher.
func (d *Daemon) rolloutServices() map[string]rollout.Service {
	var services map[string]rollout.Service
	for name, running := range d.services.All() {
		if _, known := running.Recorded(); !known {
			continue
		}
		if _, remote := d.node.DispatcherOf(name); remote || d.node.Forming() {
			continue
		}
		if services == nil {
			services = make(map[string]rollout.Service)
		}
		services[name] = running
	}
	return services
}

// rolloutRecorder records the state of rollouts in the head object of the store, which holds the
// operators' orders. It implements rollout.Recorder.
type rolloutRecorder struct {
	daemon *Daemon
}

// RecordRollout implements rollout.Recorder.
func (r *rolloutRecorder) RecordRollout(ctx context.Context, decision config.Rollout) error {
	_, err := r.daemon.Apply(ctx, config.Edit{
		ID: rand.Text(), Author: r.daemon.settings.Name, Summary: "rollout " + decision.Service + " " + string(decision.Phase),
		Base: r.daemon.follower.Revision(), Set: config.Content{Rollouts: []config.Rollout{decision}},
	})
	return err
}
