package abuse

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Machine is the size of the machine that a daemon runs on.
type Machine struct {
	MemoryBytes int64
	Descriptors int // 200 of those of the deployments are reserved for files
	// Cores is the share of a processor, as a quota for each quotaPeriod; 0: a whole one.
	Cores float64
}

// Machines of the deployments.
var (
	Entry = Machine{MemoryBytes: 284_000_000, Descriptors: 4100 - 200}
	Small = Machine{MemoryBytes: 136_000_000, Descriptors: 2870 - 200}
)

const (
	// memoryInterval is the time between two samples of a process's memory. The system keeps the peak between them.
	memoryInterval = 10 * time.Millisecond
	// queueInterval is the time between two samples of the bytes that wait in a process's sockets.
	queueInterval = 250 * time.Millisecond
)

// Usage is the highest use of a machine by a process.
type Usage struct {
	ResidentBytes int64
	// UnreadBytes have arrived and were not read by the process; they occupy memory of the machine.
	UnreadBytes int64
	// TotalBytes is the highest sum of both at one time.
	TotalBytes int64
	// Exceeded: the process was ended because it passed the memory of its machine.
	Exceeded bool
}

// String returns the figures in MB.
func (u Usage) String() string {
	const mb = 1e6
	text := fmt.Sprintf("%.0f MB (resident %.0f, unread %.0f)", float64(u.TotalBytes)/mb, float64(u.ResidentBytes)/mb, float64(u.UnreadBytes)/mb)
	if u.Exceeded {
		text += ", ended for its memory"
	}
	return text
}

// watcher samples the memory of one process, and ends the process when it passes the memory of its machine.
type watcher struct {
	pid     int
	address string // all sockets of the process have this local address
	machine Machine

	mutex sync.Mutex
	usage Usage
}

// watch samples until ctx ends or the process does.
func (w *watcher) watch(ctx context.Context) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	var unread int64
	var queuesAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := time.Now(); now.Sub(queuesAt) >= queueInterval {
			unread, queuesAt = unreadBytes(w.address), now
		}
		current, peak, err := residentBytes(w.pid)
		if err != nil {
			return // the process has ended
		}
		if w.record(current, peak, unread) {
			// An error means that the process has ended.
			_ = syscall.Kill(w.pid, syscall.SIGKILL)
			return
		}
	}
}

// record adds a sample, and reports whether the process has passed the memory of its machine.
func (w *watcher) record(current, peak, unread int64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.usage.ResidentBytes = max(w.usage.ResidentBytes, peak)
	w.usage.UnreadBytes = max(w.usage.UnreadBytes, unread)
	w.usage.TotalBytes = max(w.usage.TotalBytes, peak, current+unread)
	w.usage.Exceeded = w.usage.TotalBytes > w.machine.MemoryBytes
	return w.usage.Exceeded
}

func (w *watcher) current() Usage {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.usage
}

// residentBytes returns the resident size of a process now, and its peak since the process began.
func residentBytes(pid int) (current, peak int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) != 3 || fields[2] != "kB" {
			continue
		}
		kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return 0, 0, err
		}
		switch fields[0] {
		case "VmRSS:":
			current = kilobytes << 10
		case "VmHWM:":
			peak = kilobytes << 10
		}
	}
	if peak == 0 {
		return 0, 0, os.ErrNotExist // the process has ended and is not waited for yet
	}
	return current, peak, nil
}

// unreadBytes returns the bytes that wait in the sockets with a local address.
func unreadBytes(address string) int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	var octets [4]int
	if _, err := fmt.Sscanf(address, "%d.%d.%d.%d", &octets[0], &octets[1], &octets[2], &octets[3]); err != nil {
		return 0
	}
	// The table shows the octets in reverse order.
	local := fmt.Appendf(nil, "%02X%02X%02X%02X:", octets[3], octets[2], octets[1], octets[0])
	const columnLocal, columnState, columnQueues, listening = 1, 3, 4, "0A"
	var total int64
	for line := range bytes.Lines(table) {
		columns := bytes.Fields(line)
		if len(columns) <= columnQueues || !bytes.HasPrefix(columns[columnLocal], local) || string(columns[columnState]) == listening {
			continue
		}
		_, received, _ := strings.Cut(string(columns[columnQueues]), ":")
		if size, err := strconv.ParseInt(received, 16, 64); err == nil {
			total += size
		}
	}
	return total
}

// quotaPeriod is the period of a processor quota, and quotaInterval the time between two samples of what was used of it.
const (
	quotaPeriod   = 100 * time.Millisecond
	quotaInterval = 5 * time.Millisecond
)

// keepQuota stops a process for the rest of each period in which it has used its share of a processor, until ctx ends or the
// process does.
func keepQuota(ctx context.Context, pid int, cores float64) {
	quota := time.Duration(cores * float64(quotaPeriod))
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	began := time.Now()
	before, err := processorTime(pid)
	for stopped := false; err == nil; {
		select {
		case <-ctx.Done():
			// An error means that the process has ended.
			_ = syscall.Kill(pid, syscall.SIGCONT)
			return
		case <-ticker.C:
		}
		var used time.Duration
		used, err = processorTime(pid)
		switch {
		case time.Since(began) >= quotaPeriod:
			began, before = time.Now(), max(before+quota, used-quota)
			_ = syscall.Kill(pid, syscall.SIGCONT)
			stopped = false
		case !stopped && used-before >= quota:
			_ = syscall.Kill(pid, syscall.SIGSTOP)
			stopped = true
		}
	}
}

// processorTime returns the processor time that the threads of a process have used.
func processorTime(pid int) (time.Duration, error) {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return 0, err
	}
	var total time.Duration
	for _, thread := range threads {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, thread.Name()))
		if err != nil {
			continue // the thread has ended
		}
		running, _, _ := strings.Cut(string(text), " ")
		nanoseconds, err := strconv.ParseInt(running, 10, 64)
		if err != nil {
			return 0, err
		}
		total += time.Duration(nanoseconds)
	}
	return total, nil
}
