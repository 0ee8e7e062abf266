package explain

import (
	"fmt"
	"time"
)

// messageSilentFull is logged by the daemon that grants the permits of a service when a request counts as not taken
// by a back end that answers others.
const messageSilentFull = "routing: back end is full and does not answer"

// Causes of losses at back ends that do not answer when they are full.
const (
	// kindSilentFull is the kind of a request that ended without an answer there.
	kindSilentFull = "back end full and silent"
	// LateSilentFull is for responses of another back end after that.
	LateSilentFull = "late: sent to a back end that was full and silent"
)

// silentFullDelay is how long after the end of a request it may be detected that its back end was full: it answers
// the next request within that time.
const silentFullDelay = 500 * time.Millisecond

// addSilentFull adds a line that a back end was full and did not answer.
func (l *Log) addSilentFull(line Line) {
	if line.Message == messageSilentFull {
		l.silentFull[line.Backend] = append(l.silentFull[line.Backend], line)
	}
}

// silentFullDuring returns the first line that a back end was full and did not answer while a request was there.
func (l *Log) silentFullDuring(backend string, sent, end time.Time) (Line, bool) {
	for _, line := range l.silentFull[backend] {
		if line.Time.After(sent) && line.Time.Before(end.Add(silentFullDelay)) {
			return line, true
		}
	}
	return Line{}, false
}

// silentFullCause changes the cause of a request without an answer if its back end was full and did not answer.
func (l *Log) silentFullCause(cause Cause, backend string, sent, end time.Time) Cause {
	line, found := l.silentFullDuring(backend, sent, end)
	if !found {
		return cause
	}
	cause.Kind = kindSilentFull
	cause.Description += fmt.Sprintf(" At %s %s found that %s was full and did not answer, as requests sent there later were answered; it then sent %s no more than %d at once.",
		formatTime(line.Time), line.Daemon, backend, backend, line.MaxInFlight)
	return cause
}

// wasAtSilentFull reports whether another attempt than the one that was answered was at a back end that was full and
// did not answer.
func (l *Log) wasAtSilentFull(lines []Line, outcome Line) bool {
	for _, line := range lines {
		if line.Message != messageChosen || line.Backend == outcome.Backend {
			continue
		}
		if _, found := l.silentFullDuring(line.Backend, line.Time, outcome.Time); found {
			return true
		}
	}
	return false
}
