package explain

import (
	"fmt"
	"time"
)

// knownOf says of each back end that a request was sent to what its daemon knew then of its leaving and of pauses.
func (l *Log) knownOf(story []Line) []string {
	var known []string
	for _, chosen := range story {
		if chosen.Message != messageChosen {
			continue
		}
		if leaving := l.leavingAt(chosen); leaving != "" {
			known = append(known, leaving)
		}
		if pause, asked := l.lastOf(chosen, messagePause); asked && chosen.Time.Before(pause.Time.Add(time.Duration(pause.Lasts))) {
			known = append(known, fmt.Sprintf("%s had been asked by %s at %s for a pause of %s%s.", chosen.Daemon, chosen.Backend, clock(pause.Time), pause.Lasts, pause.byWhich()))
		}
	}
	return known
}

// leavingAt says whether the daemon of a choice knew that the back end was leaving; empty: it never heard of it.
func (l *Log) leavingAt(chosen Line) string {
	heard, leaves := l.lastOf(chosen, messageLeaving)
	if back, returned := l.lastOf(chosen, messageBack); leaves && (!returned || back.Time.Before(heard.Time)) {
		return fmt.Sprintf("%s knew since %s that %s was leaving, by the %s, heard from a %s%s.", chosen.Daemon, clock(heard.Time), chosen.Backend, heard.Source, heard.HeardFrom, heard.byWhich())
	}
	for _, line := range l.byDaemon[chosen.Daemon] {
		if line.Message == messageLeaving && line.Backend == chosen.Backend && line.Time.After(chosen.Time) {
			return fmt.Sprintf("%s did not know yet that %s was leaving; it heard so at %s, by the %s, from a %s%s.", chosen.Daemon, chosen.Backend, clock(line.Time), line.Source, line.HeardFrom, line.byWhich())
		}
	}
	return ""
}

// lastOf returns the last line of one kind on the back end of a choice that its daemon wrote before it.
func (l *Log) lastOf(chosen Line, message string) (Line, bool) {
	return l.lastWhere(chosen.Daemon, chosen.Time, func(line Line) bool {
		return line.Message == message && line.Backend == chosen.Backend
	})
}

// byWhich names the request whose answer said something; empty: none did.
func (l Line) byWhich() string {
	if l.ByRequest == "" {
		return ""
	}
	return ", with the answer to request " + l.ByRequest
}
