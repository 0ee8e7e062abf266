package pushback

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// MaxPause is the longest pause. A back end that asks for more is as good as gone, and is tried again after MaxPause.
const MaxPause = time.Hour

// ParseRetryAfter parses the values of a Retry-After header: seconds, which may be fractional, or a date (RFC 9110,
// 10.2.3). now is the wall clock that a date is compared with. No value, 0 or a date in the past means no pause. It
// returns the longest of several pauses, at most MaxPause. Invalid values are ignored if another value is valid;
// otherwise the error describes the last invalid value.
func ParseRetryAfter(values []string, now time.Time) (time.Duration, error) {
	var longest time.Duration
	var parseErr error
	parsed := false
	for _, value := range values {
		pause, err := parseValue(strings.TrimSpace(value), now)
		if err != nil {
			parseErr = err
			continue
		}
		parsed = true
		longest = max(longest, pause)
	}
	if parsed {
		return longest, nil
	}
	return 0, parseErr
}

func parseValue(value string, now time.Time) (time.Duration, error) {
	if date, err := http.ParseTime(value); err == nil {
		return min(max(date.Sub(now), 0), MaxPause), nil
	}
	if strings.ContainsAny(value, "xX_") {
		return 0, invalidValue(value)
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, invalidValue(value)
	}
	if seconds >= MaxPause.Seconds() {
		return MaxPause, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func invalidValue(value string) error {
	return errors.NotValidf("header Retry-After: value %q: allowed: seconds from 0, or a date; it", value)
}
