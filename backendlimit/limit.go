package backendlimit

import (
	"math"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Limit is how many requests a back end takes. The zero value is any number.
type Limit struct {
	Limited bool
	// PerSecond is how many it takes in a second from all daemons together, where it is limited;
	// at least 0.
	PerSecond float64
}

// Parse reads the values of the header by which a back end names its limit: decimal numbers of at
// least 0, one a header or separated by commas. No value: it is not limited. Of several numbers the
// smallest counts. The error says why none of the values could be read.
func Parse(values []string) (Limit, error) {
	var limit Limit
	var unread error
	for _, value := range values {
		for field := range strings.SplitSeq(value, ",") {
			perSecond, err := parseNumber(strings.TrimSpace(field))
			switch {
			case err != nil:
				unread = err
			case !limit.Limited || perSecond < limit.PerSecond:
				limit = Limit{Limited: true, PerSecond: perSecond}
			}
		}
	}
	if limit.Limited {
		return limit, nil
	}
	return Limit{}, unread
}

// parseNumber reads a finite decimal number of at least 0.
func parseNumber(field string) (float64, error) {
	if strings.ContainsAny(field, "xX_") {
		return 0, errors.NotValidf("request limit %q: not a decimal number; it", field)
	}
	number, err := strconv.ParseFloat(field, 64)
	switch {
	case err != nil || math.IsNaN(number) || math.IsInf(number, 0):
		return 0, errors.NotValidf("request limit %q: not a decimal number; it", field)
	case number < 0:
		return 0, errors.NotValidf("request limit %q: below 0; it", field)
	}
	return number, nil
}
