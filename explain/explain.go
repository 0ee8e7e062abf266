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
	// BackendSignals is what daemons knew of the back ends that the request was sent to, where that might have kept it away.
	BackendSignals []string
}

// Explain explains a request. The error is errors.NotFound where no line has its id.
func (l *Log) Explain(request string) (Explanation, error) {
	story := l.story(request)
	if len(story) == 0 {
		return Explanation{}, errors.NotFoundf("request %s in %d lines: it never reached a daemon whose log this is, or its lines were left out; it", request, l.lines)
	}
	return Explanation{Request: request, Lines: story, Cause: l.causeOf(story), BackendSignals: l.knownOf(story)}, nil
}

// Print writes the explanation for a person.
func (e Explanation) Print(out io.Writer) error {
	for _, line := range e.Lines {
		if _, err := fmt.Fprintf(out, "%s  %-20s  %s\n", clock(line.Time), line.Daemon, line.summary()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "\nCause: %s.\n%s\n", e.Cause.Kind, e.Cause.Description)
	if err == nil && e.Cause.Assumption != "" {
		_, err = fmt.Fprintf(out, "Believed: %s\n", e.Cause.Assumption)
	}
	for _, known := range e.BackendSignals {
		if err == nil {
			_, err = fmt.Fprintf(out, "Known: %s\n", known)
		}
	}
	return err
}

// summary is a line in a few words.
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

// Group is the failed requests with one cause.
type Group struct {
	Kind     string
	Requests int
	Example  Explanation
	First    Line // outcome of the first, by its daemon's clock
	Last     Line
	// TopSubject is where most of them were, and how many.
	TopSubject string
	TopCount   int

	places map[string]int
}

// Summarize explains every request that failed, and groups them by cause, the largest
// group first.
func (l *Log) Summarize() []Group {
	groups := make(map[string]*Group)
	for _, request := range l.requests {
		one, err := l.Explain(request)
		if err != nil || one.Cause.Kind == "answered" {
			continue
		}
		group, known := groups[one.Cause.Kind]
		end := one.Lines[len(one.Lines)-1]
		if !known {
			group = &Group{Kind: one.Cause.Kind, Example: one, First: end, Last: end, places: make(map[string]int)}
			groups[one.Cause.Kind] = group
		}
		group.take(one, end)
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

func (g *Group) take(one Explanation, end Line) {
	g.Requests++
	if end.Time.Before(g.First.Time) {
		g.First = end
	}
	if end.Time.After(g.Last.Time) {
		g.Last = end
	}
	g.places[one.Cause.Subject]++
	if count := g.places[one.Cause.Subject]; count > g.TopCount {
		g.TopSubject, g.TopCount = one.Cause.Subject, count
	}
}
