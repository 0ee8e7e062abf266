package explain

import (
	"fmt"
	"strings"
	"time"
)

// phraseStoreRollback is in the lines of each component that learns of a new era of the store.
const phraseStoreRollback = "the store came back older"

// newerRevisionElsewhere describes the newest configuration that another daemon had in force at a time, and why the
// given daemon had not, as far as its lines show; empty: no daemon had a newer configuration in force.
func (l *Log) newerRevisionElsewhere(daemon string, at time.Time) string {
	own, _ := l.lastLine(daemon, at, messageInForce)
	newest := own
	for other := range l.byDaemon {
		if line, ok := l.lastLine(other, at, messageInForce); ok && line.Revision > newest.Revision {
			newest = line
		}
	}
	if newest.Revision == own.Revision {
		return ""
	}
	assumption := fmt.Sprintf("Revision %d was in force at %s since %s (from %s).", newest.Revision, newest.Daemon, formatTime(newest.Time), newest.Source)
	return assumption + l.whyNotInForce(daemon, own.Time, at)
}

// whyNotInForce describes a configuration that a daemon rejected as older between two times, and a store rollback that
// it had learned of.
func (l *Log) whyNotInForce(daemon string, from, to time.Time) string {
	var reasons string
	if older, ok := l.lastLine(daemon, to, messageOlderDocument); ok && older.Time.After(from) {
		reasons += fmt.Sprintf(" %s passed revision %d (stored at %s, from %s) over at %s.", daemon, older.OfferedRevision, older.OfferedStored, older.Source, formatTime(older.Time))
	}
	if rollback, ok := l.lastLineWhere(daemon, to, func(line Line) bool { return strings.Contains(line.Message, phraseStoreRollback) }); ok {
		reasons += fmt.Sprintf(" It had heard at %s that the store came back older (era %d).", formatTime(rollback.Time), rollback.Era)
	}
	return reasons
}
