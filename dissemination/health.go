package dissemination

import (
	"log/slog"
	"time"
)

// sourceHealth tracks whether a source answers, and logs changes. It is not safe for concurrent
// use.
type sourceHealth struct {
	failures     int       // consecutive
	failingSince time.Time // start of the first failed call
}

// recordFailure logs a failed call; the first of a series as the loss of the source.
func (h *sourceHealth) recordFailure(log *slog.Logger, source Source, started time.Time, err error) {
	if h.failures == 0 {
		h.failingSince = started
		log.Warn("source lost", "source", source.Name(), "error", err)
	} else {
		log.Info("watch failed", "source", source.Name(), "error", err)
	}
	h.failures++
}

// recordSuccess logs that a lost source answers again.
func (h *sourceHealth) recordSuccess(log *slog.Logger, source Source) {
	if h.failures == 0 {
		return
	}
	log.Info("source regained", "source", source.Name(), "failures", h.failures, "lost_for", time.Since(h.failingSince))
	*h = sourceHealth{}
}
