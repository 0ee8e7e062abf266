package backend

import "github.com/juju/errors"

// Draining is what an answer of a back end says of whether it is leaving.
type Draining int

// What it may say.
const (
	// DrainingUnsaid: nothing.
	DrainingUnsaid Draining = iota
	// Leaving: it is.
	Leaving
	// NotLeaving: it is not, or not any more.
	NotLeaving
)

// ParseDraining reads the values of HeaderDraining: "true" or "false". Of several the first true one counts.
// The error says why none of them could be read.
func ParseDraining(values []string) (Draining, error) {
	said := DrainingUnsaid
	var unread error
	for _, value := range values {
		switch value {
		case "true":
			return Leaving, nil
		case "false":
			said = NotLeaving
		default:
			unread = errors.NotValidf("header %s: value %q: allowed: true or false; it", HeaderDraining, value)
		}
	}
	if said != DrainingUnsaid {
		return said, nil
	}
	return DrainingUnsaid, unread
}
