package explain

import (
	"sort"
	"strings"
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
)

// The messages that explanations are drawn from. Tests of lab/objectstub explain
// requests of real daemons.
const (
	messageChosen     = "routing: chosen"
	messageForwarded  = "routing: forwarded"
	messageAnswered   = "frontend: answered"
	messageFailed     = "frontend: failed"
	messageBrokenOff  = "frontend: answer broken off"
	messageAttempt    = "frontend: attempt failed"
	messageInForce    = "configuration: in force"
	messagePassedOver = "configuration: older document passed over"
	messageStarted    = "daemon: started"
	messageDispatcher = "membership: dispatcher chosen"
	messageEjected    = "outlier: back end ejected"
	messageSourceLost = "configuration: source lost"
	messageLeaving    = "drains: back end is leaving"
	messageBack       = "drains: back end is back"
	messagePause      = "pushback: back end asks for a pause"
)

// Log holds the lines of many daemons.
type Log struct {
	lines     int
	byRequest map[string][]Line
	byBackend map[string][]Line // how requests and attempts at a back end ended
	byDaemon  map[string][]Line // what a daemon believes, its starts and stops
	requests  []string          // ids, in the order of their first line
	loads     map[loadKey]load
}

// loadKey is one second of a service.
type loadKey struct {
	service string
	second  int64
}

// load is how requests ended in a second.
type load struct {
	refused, answered int
}

// NewLog returns a log without lines.
func NewLog() *Log {
	return &Log{byRequest: make(map[string][]Line), byBackend: make(map[string][]Line), byDaemon: make(map[string][]Line), loads: make(map[loadKey]load)}
}

// LineCount returns how many lines were taken in.
func (l *Log) LineCount() int {
	return l.lines
}

func (l *Log) add(line Line) {
	l.lines++
	line.number = l.lines
	if line.Request == "" {
		l.byDaemon[line.Daemon] = append(l.byDaemon[line.Daemon], line)
		return
	}
	if _, known := l.byRequest[line.Request]; !known {
		l.requests = append(l.requests, line.Request)
	}
	l.byRequest[line.Request] = append(l.byRequest[line.Request], line)
	l.count(line)
	for _, backend := range line.tried() {
		l.byBackend[backend] = append(l.byBackend[backend], line)
	}
}

// count takes a line into the load of its service.
func (l *Log) count(line Line) {
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

// loadAround returns how requests of a service ended within near of a time.
func (l *Log) loadAround(service string, at time.Time) load {
	var total load
	for second := at.Add(-near).Unix(); second <= at.Add(near).Unix(); second++ {
		one := l.loads[loadKey{service: service, second: second}]
		total.refused += one.refused
		total.answered += one.answered
	}
	return total
}

// tried returns the back ends that a line says something of.
func (l Line) tried() []string {
	switch l.Message {
	case messageAnswered:
		return []string{l.Backend}
	case messageFailed, messageBrokenOff:
		return strings.Fields(string(l.Backends))
	}
	return nil
}

// isOutcome says whether a line tells how a request ended.
func (l Line) isOutcome() bool {
	return l.Message == messageAnswered || l.Message == messageFailed || l.Message == messageBrokenOff
}

// story returns the lines of a request: those of one daemon in their order, daemons by
// the time of their first line.
func (l *Log) story(request string) []Line {
	lines := append([]Line(nil), l.byRequest[request]...)
	first := make(map[string]time.Time)
	for _, line := range lines {
		if at, known := first[line.Daemon]; !known || line.Time.Before(at) {
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

// near is how far apart lines of different daemons may be to have to do with each
// other.
const near = 2 * time.Second

// around returns what a daemon believed or did within near of a time, of one kind.
func (l *Log) around(daemon string, at time.Time, message string) []Line {
	var found []Line
	for _, line := range l.byDaemon[daemon] {
		if line.Message == message && distance(line.Time, at) <= near {
			found = append(found, line)
		}
	}
	return found
}

// last returns the last line of one kind that a daemon wrote up to a time.
func (l *Log) last(daemon string, at time.Time, message string) (Line, bool) {
	return l.lastWhere(daemon, at, func(line Line) bool { return line.Message == message })
}

// lastWhere returns the last line that a daemon wrote up to a time and that matches.
func (l *Log) lastWhere(daemon string, at time.Time, matches func(Line) bool) (Line, bool) {
	var found Line
	known := false
	for _, line := range l.byDaemon[daemon] {
		if !line.Time.After(at) && matches(line) {
			found, known = line, true
		}
	}
	return found, known
}

// next returns the first line of one kind that a daemon wrote after a time.
func (l *Log) next(daemon string, at time.Time, message string) (Line, bool) {
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
