package daemon

import (
	"time"

	"github.com/tuliphall/tuliphall/settings"
)

// Reload applies those of the new settings, which must be valid, that a running daemon
// can change. It logs which were applied and which need a restart.
func (d *Daemon) Reload(next settings.Settings) {
	present := d.reloaded.Load()
	changes := settings.Compare(*present, next)
	applied := present.Reloaded(next)
	d.reloaded.Store(&applied)
	d.applyLogSettings(applied.Log)
	d.log.Info("reloaded", "applied", changes.Applicable, "need_restart", changes.NeedRestart)
}

// LogReloadError logs that new settings could not be loaded; those in force remain.
func (d *Daemon) LogReloadError(err error) {
	d.log.Error("settings not reloaded", "error", err)
}

func (d *Daemon) applyLogSettings(options settings.Log) {
	// Validate has already checked the level.
	_ = d.logLevel.UnmarshalText([]byte(options.Level))
	d.logLimit.SetLimits(time.Now(), options.LinesPerSecond, options.BytesPerSecond)
	d.logDecisions.Store(options.Decisions)
}
