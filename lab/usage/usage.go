// Package usage reads what this process has used.
package usage

import (
	"syscall"
	"time"
)

// CPUTime returns the processor time of this process, all threads together.
func CPUTime() time.Duration {
	var used syscall.Rusage
	// Getrusage fails only for wrong arguments.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
