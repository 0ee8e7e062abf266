package backendlimit

import (
	"math"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Limit is the request rate that a back end accepts. The zero value is unlimited.
type Limit struct {
	Limited bool
	// PerSecond is how many requests a second it accepts from all daemons together if it is limited;
	// at least 0.
	PerSecond float64
}

// Parse parses the values of the header in which a back end names its limit: decimal numbers of at
// least 0, one for each header or separated by commas. Without a value the back end is not limited. The smallest
// of several numbers counts. It returns an error only if none of the values can be parsed.
func Parse(values []string) (Limit, error) {
	var limit Limit
	var invalid error
	for _, value := range values {
		for field := range strings.SplitSeq(value, ",") {
			perSecond, err := parseNumber(strings.TrimSpace(field))
			switch {
			case err != nil:
				invalid = err
			case !limit.Limited || perSecond < limit.PerSecond:
				limit = Limit{Limited: true, PerSecond: perSecond}
			}
		}
	}
	if limit.Limited {
		return limit, nil
	}
	return Limit{}, invalid
}

// parseNumber parses a finite decimal number of at least 0.
func parseNumber(field string) (float64, error) {
	if strings.ContainsAny(field, "xX_") {
		return 0, errors.NotValidf("request limit %q: not a decimal number: value", field)
	}
	number, err := strconv.ParseFloat(field, 64)
	switch {
	case err != nil || math.IsNaN(number) || math.IsInf(number, 0):
		return 0, errors.NotValidf("request limit %q: not a decimal number: value", field)
	case number < 0:
		return 0, errors.NotValidf("request limit %q: below 0: value", field)
	}
	return number, nil
}
