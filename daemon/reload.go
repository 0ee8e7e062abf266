package daemon

import (
	"time"

	"github.com/tuliphall/tuliphall/settings"
)

// Reload takes over what a running daemon can of new settings, which must be valid.
// It logs what it took over, and what needs a restart.
func (d *Daemon) Reload(next settings.Settings) {
	present := d.reloaded.Load()
	changes := settings.Compare(*present, next)
	taken := present.Reloaded(next)
	d.reloaded.Store(&taken)
	d.applyLogSettings(taken.Log)
	d.log.Info("reloaded", "applied", changes.Applicable, "need_restart", changes.NeedRestart)
}

// LogReloadError logs that new settings could not be used; those in force stay.
func (d *Daemon) LogReloadError(err error) {
	d.log.Error("settings not reloaded", "error", err)
}

func (d *Daemon) applyLogSettings(chosen settings.Log) {
	// Validate has checked the level.
	_ = d.logLevel.UnmarshalText([]byte(chosen.Level))
	d.logBound.SetLimits(time.Now(), chosen.LinesPerSecond, chosen.BytesPerSecond)
	d.logDecisions.Store(chosen.Decisions)
}
