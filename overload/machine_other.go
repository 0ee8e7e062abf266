//go:build !linux

package overload

// MachineMemory returns 0: the memory of the machine is known on Linux only.
func MachineMemory() int64 { return 0 }

// MaxDescriptors returns 0: the limit on descriptors is known on Linux only.
func MaxDescriptors() int { return 0 }
