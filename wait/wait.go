// Package wait provides the sleep that goroutines use: until a time has passed or their context
// ends.
package wait

import (
	"context"
	"time"
)

// Sleep blocks for the given duration or until ctx ends, and reports whether the whole duration
// passed. A duration of 0 or less has passed unless ctx has ended.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
