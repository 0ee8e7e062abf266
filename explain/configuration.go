package explain

import (
	"fmt"
	"strings"
	"time"
)

// phraseCameBackOlder is in the lines of each part that hears of a new era of the store.
const phraseCameBackOlder = "the store came back older"

// newerElsewhere says that another daemon had a newer configuration in force than one did at a time, and why this one did
// not as far as its lines tell; empty: none had.
func (l *Log) newerElsewhere(daemon string, at time.Time) string {
	own, _ := l.last(daemon, at, messageInForce)
	newest := own
	for other := range l.byDaemon {
		if line, ok := l.last(other, at, messageInForce); ok && line.Revision > newest.Revision {
			newest = line
		}
	}
	if newest.Revision == own.Revision {
		return ""
	}
	belief := fmt.Sprintf("Revision %d was in force at %s since %s (from %s).", newest.Revision, newest.Daemon, clock(newest.Time), newest.Source)
	return belief + l.whyNotInForce(daemon, own.Time, at)
}

// whyNotInForce tells what a daemon wrote of configurations that it did not put in force between two times.
func (l *Log) whyNotInForce(daemon string, from, to time.Time) string {
	var told string
	if passed, ok := l.last(daemon, to, messagePassedOver); ok && passed.Time.After(from) {
		told += fmt.Sprintf(" %s passed revision %d (stored at %s, from %s) over at %s.", daemon, passed.OfferedRevision, passed.OfferedStored, passed.Source, clock(passed.Time))
	}
	if returned, ok := l.lastWhere(daemon, to, func(line Line) bool { return strings.Contains(line.Message, phraseCameBackOlder) }); ok {
		told += fmt.Sprintf(" It had heard at %s that the store came back older (era %d).", clock(returned.Time), returned.Era)
	}
	return told
}
