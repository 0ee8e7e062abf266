package backend

import "github.com/juju/errors"

// Draining is what an answer of a back end says of whether it is leaving.
type Draining int

// What it may say.
const (
	// DrainingUnspecified: nothing.
	DrainingUnspecified Draining = iota
	// DrainingTrue: it is.
	DrainingTrue
	// DrainingFalse: it is not, or not any more.
	DrainingFalse
)

// ParseDraining reads the values of HeaderDraining: "true" or "false". Of several the first true one counts.
// The error says why none of them could be read.
func ParseDraining(values []string) (Draining, error) {
	said := DrainingUnspecified
	var unread error
	for _, value := range values {
		switch value {
		case "true":
			return DrainingTrue, nil
		case "false":
			said = DrainingFalse
		default:
			unread = errors.NotValidf("header %s: value %q: allowed: true or false; it", HeaderDraining, value)
		}
	}
	if said != DrainingUnspecified {
		return said, nil
	}
	return DrainingUnspecified, unread
}
