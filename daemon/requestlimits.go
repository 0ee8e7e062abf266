package daemon

import (
	"log/slog"

	"github.com/tuliphall/tuliphall/config"
)

// applyRequestLimits puts the operator's limits on requests in force, also on open connections, and logs them if they have
// changed.
func (d *Daemon) applyRequestLimits(snapshot *config.Snapshot) {
	limits := snapshot.Limits()
	if limits == d.callers.Limits() {
		return
	}
	d.callers.SetLimits(limits)
	d.log.Info("limits on requests in force", slog.Uint64("revision", uint64(snapshot.Revision)), slog.Int("max_header_bytes", limits.EffectiveHeadBytes()),
		slog.Int64("max_body_bytes", limits.BodyBytes), slog.Duration("header_timeout", limits.EffectiveHeadTimeout()), slog.Duration("idle_timeout", limits.IdleTimeout))
}
