package dissemination

import (
	"context"
	"log/slog"
	"slices"
	"strings"

	"github.com/tuliphall/tuliphall/config"
)

// maxNamedBackends is the maximum number of changed back ends that a log line lists by name.
const maxNamedBackends = 4

// logInForce logs the document that is now in force, its source and what it changed. before is nil
// if there was none.
func (f *Follower) logInForce(before *config.Document, current config.Document, source string) {
	if before == nil {
		before = &config.Document{}
	}
	attributes := []slog.Attr{
		slog.Uint64("revision", uint64(current.Revision)), slog.Uint64("before", uint64(before.Revision)),
		slog.String("stored", current.StoreVersion.String()), slog.String("stored_before", before.StoreVersion.String()),
		slog.Int("routes", len(current.Content.Routes)), slog.Int("services", len(current.Content.Services)),
		slog.String("directory", current.Directory.Revision.String()), slog.String("directory_before", before.Directory.Revision.String()),
		slog.Int("backends", len(current.Directory.Entries)),
		slog.String("evacuated", strings.Join(current.EvacuatedZones(), " ")), slog.String("evacuated_before", strings.Join(before.EvacuatedZones(), " ")),
	}
	if len(current.Rollouts.Orders) > 0 || len(current.Content.Rollouts) > 0 {
		attributes = append(attributes, slog.String("rollouts", describeRollouts(current)))
	}
	attributes = append(attributes, backendChanges(before.Directory, current.Directory)...)
	f.log.LogAttrs(context.Background(), slog.LevelInfo, "in force", append(attributes, slog.String("source", source))...)
}

// maxNamedDeviations is the maximum number of deviations that a log line lists.
const maxNamedDeviations = 4

// logDeviations logs the objects that are not in force as declared, once for as long as they stay the same. before is nil
// if nothing was in force.
func (f *Follower) logDeviations(before, current *config.Snapshot) {
	var previous []config.Deviation
	if before != nil {
		previous = before.Deviations
	}
	if slices.Equal(previous, current.Deviations) {
		return
	}
	if len(current.Deviations) == 0 {
		f.log.Info("all objects are in force as declared", "revision", uint64(current.Revision))
		return
	}
	var named []string
	for _, deviation := range current.Deviations[:min(len(current.Deviations), maxNamedDeviations)] {
		named = append(named, deviation.String())
	}
	f.log.Warn("objects are not in force as declared", "revision", uint64(current.Revision), "count", len(current.Deviations), "objects", strings.Join(named, "; "))
}

// describeRollouts returns the version and phase of each rollout, sorted by service.
func describeRollouts(document config.Document) string {
	var parts []string
	for service, rollout := range document.RolloutsByService() {
		parts = append(parts, service+"="+rollout.Version+":"+string(rollout.Phase))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// backendChanges returns how many back ends of a directory changed, and their names if they are
// few.
func backendChanges(before, current config.Directory) []slog.Attr {
	change, known := current.ChangesAfter(before.Revision)
	if !known || before.Revision == current.Revision {
		return nil
	}
	var changed, gone []string
	for _, entry := range change.Entries {
		state := "ready"
		if entry.Drained {
			state = "draining"
		}
		changed = append(changed, entry.ID+"="+state)
	}
	for _, tombstone := range change.Tombstones {
		gone = append(gone, tombstone.ID)
	}
	attributes := []slog.Attr{slog.Int("backends_changed", len(changed)), slog.Int("backends_gone", len(gone))}
	if len(changed) > 0 && len(changed) <= maxNamedBackends {
		attributes = append(attributes, slog.String("changed", strings.Join(changed, " ")))
	}
	if len(gone) > 0 && len(gone) <= maxNamedBackends {
		attributes = append(attributes, slog.String("gone", strings.Join(gone, " ")))
	}
	return attributes
}
