package explain

import (
	"sort"
	"strings"
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
)

// The log messages that explanations are based on. Tests in lab/objectstub check them with
// requests to real daemons.
const (
	messageChosen        = "routing: chosen"
	messageForwarded     = "routing: forwarded"
	messageAnswered      = "frontend: answered"
	messageFailed        = "frontend: failed"
	messageBrokenOff     = "frontend: answer broken off"
	messageAttempt       = "frontend: attempt failed"
	messageInForce       = "configuration: in force"
	messageOlderDocument = "configuration: older document passed over"
	messageStarted       = "daemon: started"
	messageDispatcher    = "membership: dispatcher chosen"
	messageEjected       = "outlier: back end ejected"
	messageSourceLost    = "configuration: source lost"
	messageDraining      = "drains: back end is leaving"
	messageDrainEnded    = "drains: back end is back"
	messagePause         = "pushback: back end asks for a pause"
)

// Log holds the lines of many daemons.
type Log struct {
	lines     int
	byRequest map[string][]Line
	byBackend map[string][]Line // outcomes of the requests that were sent to a back end
	byDaemon  map[string][]Line // lines without a request: state changes, starts and stops
	requests  []string          // ids, in the order of their first lines
	loads     map[loadKey]load
	// silentFull are the lines that a back end was full and did not answer, by back end.
	silentFull map[string][]Line
}

// loadKey identifies one second of a service.
type loadKey struct {
	service string
	second  int64
}

// load counts the outcomes of requests.
type load struct {
	refused, answered int
}

// NewLog returns an empty Log.
func NewLog() *Log {
	return &Log{byRequest: make(map[string][]Line), byBackend: make(map[string][]Line), byDaemon: make(map[string][]Line), loads: make(map[loadKey]load), silentFull: make(map[string][]Line)}
}

// LineCount returns the number of lines that were read.
func (l *Log) LineCount() int {
	return l.lines
}

func (l *Log) add(line Line) {
	l.lines++
	line.number = l.lines
	l.addSilentFull(line)
	if line.Request == "" {
		l.byDaemon[line.Daemon] = append(l.byDaemon[line.Daemon], line)
		return
	}
	if _, seen := l.byRequest[line.Request]; !seen {
		l.requests = append(l.requests, line.Request)
	}
	l.byRequest[line.Request] = append(l.byRequest[line.Request], line)
	l.countLoad(line)
	for _, backend := range line.backends() {
		l.byBackend[backend] = append(l.byBackend[backend], line)
	}
}

// countLoad counts an outcome line in the load of its service.
func (l *Log) countLoad(line Line) {
	key := loadKey{service: line.Service, second: line.Time.Unix()}
	counted := l.loads[key]
	switch {
	case line.Message == messageAnswered:
		counted.answered++
	case line.Message == messageFailed && line.Run == string(resultcode.NotRun):
		counted.refused++
	default:
		return
	}
	l.loads[key] = counted
}

// loadAround returns the load of a service within correlationWindow of a time.
func (l *Log) loadAround(service string, at time.Time) load {
	var total load
	for second := at.Add(-correlationWindow).Unix(); second <= at.Add(correlationWindow).Unix(); second++ {
		one := l.loads[loadKey{service: service, second: second}]
		total.refused += one.refused
		total.answered += one.answered
	}
	return total
}

// backends returns the back ends that an outcome line names.
func (l Line) backends() []string {
	switch l.Message {
	case messageAnswered:
		return []string{l.Backend}
	case messageFailed, messageBrokenOff:
		return strings.Fields(string(l.Backends))
	}
	return nil
}

// isOutcome reports whether the line states the outcome of a request.
func (l Line) isOutcome() bool {
	return l.Message == messageAnswered || l.Message == messageFailed || l.Message == messageBrokenOff
}

// linesOf returns the lines of a request: those of one daemon in their order, daemons in the
// order of the time of their first lines.
func (l *Log) linesOf(request string) []Line {
	lines := append([]Line(nil), l.byRequest[request]...)
	first := make(map[string]time.Time)
	for _, line := range lines {
		if at, seen := first[line.Daemon]; !seen || line.Time.Before(at) {
			first[line.Daemon] = line.Time
		}
	}
	sort.SliceStable(lines, func(i, j int) bool {
		if lines[i].Daemon != lines[j].Daemon {
			return first[lines[i].Daemon].Before(first[lines[j].Daemon])
		}
		return lines[i].number < lines[j].number
	})
	return lines
}

// correlationWindow is the maximum time between lines of different daemons that are related.
const correlationWindow = 2 * time.Second

// linesAround returns the lines of a daemon with a message within correlationWindow of a time.
func (l *Log) linesAround(daemon string, at time.Time, message string) []Line {
	var found []Line
	for _, line := range l.byDaemon[daemon] {
		if line.Message == message && distance(line.Time, at) <= correlationWindow {
			found = append(found, line)
		}
	}
	return found
}

// lastLine returns the last line with a message that a daemon logged up to a time.
func (l *Log) lastLine(daemon string, at time.Time, message string) (Line, bool) {
	return l.lastLineWhere(daemon, at, func(line Line) bool { return line.Message == message })
}

// lastLineWhere returns the last line that matches and that a daemon logged up to a time.
func (l *Log) lastLineWhere(daemon string, at time.Time, matches func(Line) bool) (Line, bool) {
	var found Line
	ok := false
	for _, line := range l.byDaemon[daemon] {
		if !line.Time.After(at) && matches(line) {
			found, ok = line, true
		}
	}
	return found, ok
}

// nextLine returns the first line with a message that a daemon logged after a time.
func (l *Log) nextLine(daemon string, at time.Time, message string) (Line, bool) {
	for _, line := range l.byDaemon[daemon] {
		if line.Message == message && line.Time.After(at) {
			return line, true
		}
	}
	return Line{}, false
}

func distance(a, b time.Time) time.Duration {
	return a.Sub(b).Abs()
}
