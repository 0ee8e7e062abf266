package logging

import (
	"context"
	"log/slog"
	"time"

	"github.com/tuliphall/tuliphall/wait"
)

// reportInterval is the minimum time between two reports of dropped lines.
const reportInterval = time.Second

// ReportDropped logs each second how many lines of which kind were dropped, and calls count
// with them, until ctx ends. While no lines are dropped, it blocks. Its own lines are not
// limited; if a full queue drops one, the next line includes its numbers.
func ReportDropped(ctx context.Context, logger *slog.Logger, limiter *Limiter, count func(kind string, lines int)) {
	handler := logger.Handler()
	if limited, ok := handler.(*limitHandler); ok {
		handler = limited.next
	}
	unreported := make(map[string]int)
	for {
		select {
		case <-ctx.Done():
			return
		case <-limiter.DroppedSignal():
		}
		wait.Sleep(ctx, reportInterval)
		for kind, lines := range limiter.TakeDropped() {
			count(kind, lines)
			unreported[kind] += lines
		}
		if handler.Handle(ctx, droppedRecord(unreported)) == nil {
			clear(unreported)
		}
	}
}

func droppedRecord(dropped map[string]int) slog.Record {
	record := slog.NewRecord(time.Now(), slog.LevelWarn, "logging: lines left out", 0)
	total := 0
	kinds := make([]any, 0, len(dropped))
	for kind, lines := range dropped {
		total += lines
		kinds = append(kinds, slog.Int(kind, lines))
	}
	record.AddAttrs(slog.Int("lines", total), slog.Group("kinds", kinds...))
	return record
}
