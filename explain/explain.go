package explain

import (
	"fmt"
	"io"
	"sort"

	"github.com/juju/errors"
)

// Explanation is how one request ended and why.
type Explanation struct {
	Request string
	Lines   []Line
	Cause   Cause
	// BackendSignals describe what daemons knew of draining and pauses of the back ends that the request was sent to.
	BackendSignals []string
}

// Explain explains the request with an id. The error is errors.NotFound if no line has the id.
func (l *Log) Explain(request string) (Explanation, error) {
	lines := l.linesOf(request)
	if len(lines) == 0 {
		return Explanation{}, errors.NotFoundf("request %s in %d lines: it never reached a daemon whose log was read, or its lines were dropped; it", request, l.lines)
	}
	return Explanation{Request: request, Lines: lines, Cause: l.determineCause(lines), BackendSignals: l.backendSignals(lines)}, nil
}

// Print writes the explanation as text for operators.
func (e Explanation) Print(out io.Writer) error {
	for _, line := range e.Lines {
		if _, err := fmt.Fprintf(out, "%s  %-20s  %s\n", formatTime(line.Time), line.Daemon, line.summary()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "\nCause: %s.\n%s\n", e.Cause.Kind, e.Cause.Description)
	if err == nil && e.Cause.Assumption != "" {
		_, err = fmt.Fprintf(out, "Believed: %s\n", e.Cause.Assumption)
	}
	for _, signal := range e.BackendSignals {
		if err == nil {
			_, err = fmt.Fprintf(out, "Known: %s\n", signal)
		}
	}
	return err
}

// summary returns a short text for the line.
func (l Line) summary() string {
	switch l.Message {
	case messageChosen:
		return fmt.Sprintf("%s: %s of %s, place from %s, %s among %d, report %s old, waited %s, %s left",
			l.Kind, l.Backend, l.Service, l.Dispatcher, l.Reason, l.Candidates, l.ReportAge, l.Waited, l.Remaining)
	case messageForwarded:
		return "sent on to " + l.Dispatcher
	case messageAttempt:
		return fmt.Sprintf("attempt failed: code %d, %s; again: %s", l.Code, l.Cause, l.Retry)
	case messageAnswered:
		return fmt.Sprintf("answered: status %d of %s after %s, %s in all", l.Status, l.Backend, l.Latency, l.Total)
	case messageFailed:
		return fmt.Sprintf("failed: %d %s (%s), %s; sent %d times, %s in all", l.Code, l.Name, l.Run, l.Cause, l.Sent, l.Total)
	case messageBrokenOff:
		return fmt.Sprintf("answer broken off on the side of the %s: %s, after %s", l.Side, l.Cause, l.Total)
	}
	return l.Message + " " + l.Cause + l.Error
}

// Group summarizes the failed requests with one kind of cause.
type Group struct {
	Kind     string
	Requests int
	Example  Explanation
	First    Line // last line of the earliest request, by its daemon's clock
	Last     Line // last line of the latest request
	// TopSubject is the most frequent subject.
	TopSubject string
	TopCount   int // requests with TopSubject

	subjects map[string]int // requests by subject
}

// Summarize explains all failed requests and groups them by kind of cause, the largest group
// first.
func (l *Log) Summarize() []Group {
	groups := make(map[string]*Group)
	for _, request := range l.requests {
		explanation, err := l.Explain(request)
		if err != nil || explanation.Cause.Kind == "answered" {
			continue
		}
		group, found := groups[explanation.Cause.Kind]
		end := explanation.Lines[len(explanation.Lines)-1]
		if !found {
			group = &Group{Kind: explanation.Cause.Kind, Example: explanation, First: end, Last: end, subjects: make(map[string]int)}
			groups[explanation.Cause.Kind] = group
		}
		group.add(explanation, end)
	}
	sorted := make([]Group, 0, len(groups))
	for _, group := range groups {
		sorted = append(sorted, *group)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Requests != sorted[j].Requests {
			return sorted[i].Requests > sorted[j].Requests
		}
		return sorted[i].Kind < sorted[j].Kind
	})
	return sorted
}

func (g *Group) add(explanation Explanation, end Line) {
	g.Requests++
	if end.Time.Before(g.First.Time) {
		g.First = end
	}
	if end.Time.After(g.Last.Time) {
		g.Last = end
	}
	g.subjects[explanation.Cause.Subject]++
	if count := g.subjects[explanation.Cause.Subject]; count > g.TopCount {
		g.TopSubject, g.TopCount = explanation.Cause.Subject, count
	}
}
