// Package wait holds the one way in which goroutines sleep: until a time has
// passed or their context ends.
package wait

import (
	"context"
	"time"
)

// Sleep blocks for the given time, or until ctx ends, and says whether the whole
// time passed. A time that is not above 0 has passed.
func Sleep(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
