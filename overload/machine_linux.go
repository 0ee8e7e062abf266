package overload

import (
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// cgroupMemoryFile holds the limit of the control group of a container.
const cgroupMemoryFile = "/sys/fs/cgroup/memory.max"

// MachineMemory returns the memory that the system gives this process, in bytes; 0: it does not say.
func MachineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	memory := int64(info.Totalram) * int64(info.Unit)
	// An error means that there is no control group with a limit.
	if text, err := os.ReadFile(cgroupMemoryFile); err == nil {
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil {
			memory = min(memory, limit)
		}
	}
	return memory
}

// MaxDescriptors returns how many descriptors this process may have open; 0: the system does not say.
func MaxDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<30))
}
