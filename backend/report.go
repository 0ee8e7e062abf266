package backend

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// HeaderReport carries a back end's load on its answers, as published by the
// Open Request Cost Aggregation (ORCA) format: "TEXT key=value, ..." or
// "JSON {...}".
const HeaderReport = "Endpoint-Load-Metrics"

// HeaderDraining is set to "true" by a back end that is leaving, and to "false" by one that is not any more.
const HeaderDraining = "Endpoint-Draining"

// HeaderRequestLimit is set by a back end that takes only so many requests a second.
const HeaderRequestLimit = "Endpoint-Request-Limit"

// inFlightMetric is the named metric that holds the requests a back end has,
// those in its queue included.
const inFlightMetric = "named_metrics.in_flight"

// Report is a back end's word on its load.
type Report struct {
	InFlight int // requests it has, those in its queue included
	// Slowdown is how much longer work takes there now than usually; 0: not
	// told.
	Slowdown float64
	// WarmUpLeft is for how long it remains cold; 0: not told. Only answers to probes say so.
	WarmUpLeft time.Duration
}

// jsonReport is the JSON form of a report.
type jsonReport struct {
	NamedMetrics struct {
		InFlight *float64 `json:"in_flight"`
	} `json:"named_metrics"`
}

// ParseReport reads the value of HeaderReport. It returns false when the value
// has no usable count of requests in flight.
func ParseReport(value string) (Report, bool) {
	if text, ok := strings.CutPrefix(value, "TEXT "); ok {
		return parseText(text)
	}
	if text, ok := strings.CutPrefix(value, "JSON "); ok {
		var report jsonReport
		if err := json.Unmarshal([]byte(text), &report); err != nil || report.NamedMetrics.InFlight == nil {
			return Report{}, false
		}
		return reportOf(*report.NamedMetrics.InFlight)
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
		return reportOf(number)
	}
	return Report{}, false
}

// maxReported bounds a count, so that a broken report cannot overflow.
const maxReported = 1 << 20

func reportOf(number float64) (Report, bool) {
	if !(number >= 0 && number <= maxReported) {
		return Report{}, false
	}
	return Report{InFlight: int(number)}, true
}
