package logging

import (
	"context"
	"log/slog"
	"time"

	"github.com/tuliphall/tuliphall/wait"
)

// reportInterval is the least time between two lines that say what was left out.
const reportInterval = time.Second

// ReportDropped logs each second how many lines of which kind were left out, and
// tells note of them, until ctx ends. Where none are, it sleeps. Its own lines pass
// every bound but a full queue; what that keeps back is told with the next line.
func ReportDropped(ctx context.Context, logger *slog.Logger, bound *Limiter, note func(kind string, lines int)) {
	handler := logger.Handler()
	if bounded, ok := handler.(*boundHandler); ok {
		handler = bounded.next
	}
	untold := make(map[string]int)
	for {
		select {
		case <-ctx.Done():
			return
		case <-bound.DroppedSignal():
		}
		wait.Sleep(ctx, reportInterval)
		for kind, lines := range bound.TakeDropped() {
			note(kind, lines)
			untold[kind] += lines
		}
		if handler.Handle(ctx, leftOutRecord(untold)) == nil {
			clear(untold)
		}
	}
}

func leftOutRecord(untold map[string]int) slog.Record {
	record := slog.NewRecord(time.Now(), slog.LevelWarn, "logging: lines left out", 0)
	total := 0
	kinds := make([]any, 0, len(untold))
	for kind, lines := range untold {
		total += lines
		kinds = append(kinds, slog.Int(kind, lines))
	}
	record.AddAttrs(slog.Int("lines", total), slog.Group("kinds", kinds...))
	return record
}
