package backend

import "github.com/juju/errors"

// Draining says whether a back end is draining, according to one response.
type Draining int

const (
	// DrainingUnspecified: the response does not say.
	DrainingUnspecified Draining = iota
	// DrainingTrue: the back end is draining.
	DrainingTrue
	// DrainingFalse: the back end is not draining, or no longer.
	DrainingFalse
)

// ParseDraining parses the values of HeaderDraining: "true" or "false". "true" takes precedence if there
// are several. It returns an error if there are values and none is valid.
func ParseDraining(values []string) (Draining, error) {
	draining := DrainingUnspecified
	var invalid error
	for _, value := range values {
		switch value {
		case "true":
			return DrainingTrue, nil
		case "false":
			draining = DrainingFalse
		default:
			invalid = errors.NotValidf("header %s: value %q (allowed: true or false)", HeaderDraining, value)
		}
	}
	if draining != DrainingUnspecified {
		return draining, nil
	}
	return DrainingUnspecified, invalid
}
