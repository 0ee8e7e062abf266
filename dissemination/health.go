package dissemination

import (
	"log/slog"
	"time"
)

// sourceHealth follows whether a source answers, and logs when that changes. One
// goroutine owns it.
type sourceHealth struct {
	failures int       // in a row
	since    time.Time // begin of the first of them
}

// failed logs a call that failed, and that the source is lost if it is the first.
func (h *sourceHealth) failed(log *slog.Logger, source Source, begun time.Time, err error) {
	if h.failures == 0 {
		h.since = begun
		log.Warn("source lost", "source", source.Name(), "error", err)
	} else {
		log.Info("watch failed", "source", source.Name(), "error", err)
	}
	h.failures++
}

// answered logs that a source that was lost answers again.
func (h *sourceHealth) answered(log *slog.Logger, source Source) {
	if h.failures == 0 {
		return
	}
	log.Info("source regained", "source", source.Name(), "failures", h.failures, "lost_for", time.Since(h.since))
	*h = sourceHealth{}
}
