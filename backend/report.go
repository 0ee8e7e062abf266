package backend

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// HeaderReport carries the load of a back end on its responses, in the Open
// Request Cost Aggregation (ORCA) format: "TEXT key=value, ..." or "JSON {...}".
const HeaderReport = "Endpoint-Load-Metrics"

// HeaderDraining is set to "true" by a back end that is draining, and to "false" by one that has stopped draining.
const HeaderDraining = "Endpoint-Draining"

// HeaderRequestLimit holds the number of requests per second that a back end accepts.
const HeaderRequestLimit = "Endpoint-Request-Limit"

// inFlightMetric is the named metric that holds the number of requests at a back end,
// including its queue.
const inFlightMetric = "named_metrics.in_flight"

// Report is a load report of a back end.
type Report struct {
	InFlight int // including queued requests
	// Slowdown is the factor by which requests currently take longer than usual;
	// 0: not reported.
	Slowdown float64
	// WarmUpLeft is the remaining warm-up time; 0: not reported. Only responses to probes report it.
	WarmUpLeft time.Duration
}

type jsonReport struct {
	NamedMetrics struct {
		InFlight *float64 `json:"in_flight"`
	} `json:"named_metrics"`
}

// ParseReport parses the value of HeaderReport. It returns false if the value
// has no usable number of requests in flight.
func ParseReport(value string) (Report, bool) {
	if text, ok := strings.CutPrefix(value, "TEXT "); ok {
		return parseText(text)
	}
	if text, ok := strings.CutPrefix(value, "JSON "); ok {
		var report jsonReport
		if err := json.Unmarshal([]byte(text), &report); err != nil || report.NamedMetrics.InFlight == nil {
			return Report{}, false
		}
		return newReport(*report.NamedMetrics.InFlight)
	}
	return Report{}, false
}

func parseText(text string) (Report, bool) {
	for pair := range strings.SplitSeq(text, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || key != inFlightMetric {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return Report{}, false
		}
		return newReport(number)
	}
	return Report{}, false
}

// maxInFlight bounds the reported count, so that an invalid report cannot overflow an int.
const maxInFlight = 1 << 20

func newReport(number float64) (Report, bool) {
	if !(number >= 0 && number <= maxInFlight) {
		return Report{}, false
	}
	return Report{InFlight: int(number)}, true
}
