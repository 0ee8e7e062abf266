package pushback

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// MaxPause bounds a pause: a back end that wants none for longer is as good as gone, and is asked again then.
const MaxPause = time.Hour

// ParseRetryAfter reads the values of a Retry-After header: seconds, of which there may be fractions, or a date (RFC
// 9110, 10.2.3). now is the wall clock, to which a date is compared. No value, 0 or a date that is past: no pause. Of
// several the longest counts, at most MaxPause. The error says why none of the values could be read.
func ParseRetryAfter(values []string, now time.Time) (time.Duration, error) {
	var longest time.Duration
	var unread error
	read := false
	for _, value := range values {
		pause, err := parseOne(strings.TrimSpace(value), now)
		if err != nil {
			unread = err
			continue
		}
		read = true
		longest = max(longest, pause)
	}
	if read {
		return longest, nil
	}
	return 0, unread
}

func parseOne(value string, now time.Time) (time.Duration, error) {
	if date, err := http.ParseTime(value); err == nil {
		return min(max(date.Sub(now), 0), MaxPause), nil
	}
	if strings.ContainsAny(value, "xX_") {
		return 0, notReadable(value)
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, notReadable(value)
	}
	if seconds >= MaxPause.Seconds() {
		return MaxPause, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func notReadable(value string) error {
	return errors.NotValidf("header Retry-After: value %q: allowed: seconds from 0, or a date; it", value)
}
