package explain

import (
	"fmt"
	"time"
)

// backendSignals describes, for each routing decision of a request, what the daemon knew at that time of draining and
// pauses of the chosen back end.
func (l *Log) backendSignals(lines []Line) []string {
	var signals []string
	for _, chosen := range lines {
		if chosen.Message != messageChosen {
			continue
		}
		if draining := l.drainingSignal(chosen); draining != "" {
			signals = append(signals, draining)
		}
		if pause, asked := l.lastSignal(chosen, messagePause); asked && chosen.Time.Before(pause.Time.Add(time.Duration(pause.Lasts))) {
			signals = append(signals, fmt.Sprintf("%s had been asked by %s at %s for a pause of %s%s.", chosen.Daemon, chosen.Backend, formatTime(pause.Time), pause.Lasts, pause.viaRequest()))
		}
	}
	return signals
}

// drainingSignal describes whether the daemon knew at the routing decision that the chosen back end was draining;
// empty: it was not, as far as the daemon ever logged.
func (l *Log) drainingSignal(chosen Line) string {
	reported, found := l.lastSignal(chosen, messageDraining)
	if ended, hasEnded := l.lastSignal(chosen, messageDrainEnded); found && (!hasEnded || ended.Time.Before(reported.Time)) {
		return fmt.Sprintf("%s knew since %s that %s was leaving, by the %s, heard from a %s%s.", chosen.Daemon, formatTime(reported.Time), chosen.Backend, reported.Source, reported.HeardFrom, reported.viaRequest())
	}
	for _, line := range l.byDaemon[chosen.Daemon] {
		if line.Message == messageDraining && line.Backend == chosen.Backend && line.Time.After(chosen.Time) {
			return fmt.Sprintf("%s did not know yet that %s was leaving; it heard so at %s, by the %s, from a %s%s.", chosen.Daemon, chosen.Backend, formatTime(line.Time), line.Source, line.HeardFrom, line.viaRequest())
		}
	}
	return ""
}

// lastSignal returns the last line with a message about the chosen back end that the daemon logged before the decision.
func (l *Log) lastSignal(chosen Line, message string) (Line, bool) {
	return l.lastLineWhere(chosen.Daemon, chosen.Time, func(line Line) bool {
		return line.Message == message && line.Backend == chosen.Backend
	})
}

// viaRequest names the request whose response had a signal; empty: it did not come with a response.
func (l Line) viaRequest() string {
	if l.ByRequest == "" {
		return ""
	}
	return ", with the answer to request " + l.ByRequest
}
