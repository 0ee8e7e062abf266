package abuse

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// headerRequestID identifies a request.
const headerRequestID = "Request-Id"

// journal records what back ends ran and what callers were told, and checks one against the other.
type journal struct {
	lastID atomic.Int64

	mutex      sync.Mutex
	runs       map[string]int
	refused    map[string]int // status by request
	violations []string
}

func newJournal() *journal {
	return &journal{runs: make(map[string]int), refused: make(map[string]int)}
}

// prefixOnce begins the ids of requests that must not be repeated.
const prefixOnce = "u-"

// nextID returns a new request id.
func (j *journal) nextID(repeatable bool) string {
	number := strconv.FormatInt(j.lastID.Add(1), 10)
	if repeatable {
		return "s-" + number
	}
	return prefixOnce + number
}

// mustNotRun reports whether a status promises that a request has not run and never will.
func mustNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (j *journal) recordRun(id string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.runs[id]++
	if strings.HasPrefix(id, prefixOnce) && j.runs[id] > 1 {
		j.violations = append(j.violations, fmt.Sprintf("request %s ran %d times", id, j.runs[id]))
	}
	if status, refused := j.refused[id]; refused {
		j.violations = append(j.violations, fmt.Sprintf("request %s ran after it was refused with %d", id, status))
	}
}

func (j *journal) recordStatus(id string, status int) {
	if !mustNotRun(status) {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.refused[id] = status
	if j.runs[id] > 0 {
		j.violations = append(j.violations, fmt.Sprintf("request %s was refused with %d and has run", id, status))
	}
}

// Violations returns what contradicts the promises to callers.
func (j *journal) Violations() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.violations
}

func (j *journal) addViolation(format string, arguments ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.violations = append(j.violations, fmt.Sprintf(format, arguments...))
}
