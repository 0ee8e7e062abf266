package dissemination

import (
	"context"
	"log/slog"
	"slices"
	"strings"

	"github.com/tuliphall/tuliphall/config"
)

// namedBackends is how many changed back ends a line names.
const namedBackends = 4

// logInForce logs what has come into force, from whom, and what it changed. before is
// nil where there was nothing.
func (f *Follower) logInForce(before *config.Document, now config.Document, source string) {
	if before == nil {
		before = &config.Document{}
	}
	attributes := []slog.Attr{
		slog.Uint64("revision", uint64(now.Revision)), slog.Uint64("before", uint64(before.Revision)),
		slog.String("stored", now.StoreVersion.String()), slog.String("stored_before", before.StoreVersion.String()),
		slog.Int("routes", len(now.Content.Routes)), slog.Int("services", len(now.Content.Services)),
		slog.String("directory", now.Directory.Revision.String()), slog.String("directory_before", before.Directory.Revision.String()),
		slog.Int("backends", len(now.Directory.Entries)),
		slog.String("evacuated", strings.Join(now.EvacuatedZones(), " ")), slog.String("evacuated_before", strings.Join(before.EvacuatedZones(), " ")),
	}
	if len(now.Rollouts.Orders) > 0 || len(now.Content.Rollouts) > 0 {
		attributes = append(attributes, slog.String("rollouts", describeRollouts(now)))
	}
	attributes = append(attributes, backendsChanged(before.Directory, now.Directory)...)
	f.log.LogAttrs(context.Background(), slog.LevelInfo, "in force", append(attributes, slog.String("source", source))...)
}

// describeRollouts names the rollouts and how far they are.
func describeRollouts(document config.Document) string {
	var told []string
	for service, one := range document.RolloutsByService() {
		told = append(told, service+"="+one.Version+":"+string(one.Phase))
	}
	slices.Sort(told)
	return strings.Join(told, " ")
}

// backendsChanged says how many back ends of a directory changed, and which, if few.
func backendsChanged(before, now config.Directory) []slog.Attr {
	change, known := now.ChangesAfter(before.Revision)
	if !known || before.Revision == now.Revision {
		return nil
	}
	var changed, gone []string
	for _, one := range change.Entries {
		state := "ready"
		if one.Drained {
			state = "draining"
		}
		changed = append(changed, one.ID+"="+state)
	}
	for _, one := range change.Tombstones {
		gone = append(gone, one.ID)
	}
	attributes := []slog.Attr{slog.Int("backends_changed", len(changed)), slog.Int("backends_gone", len(gone))}
	if len(changed) > 0 && len(changed) <= namedBackends {
		attributes = append(attributes, slog.String("changed", strings.Join(changed, " ")))
	}
	if len(gone) > 0 && len(gone) <= namedBackends {
		attributes = append(attributes, slog.String("gone", strings.Join(gone, " ")))
	}
	return attributes
}
