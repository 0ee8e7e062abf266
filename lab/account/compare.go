package account

import (
	"math"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/platform/dayreport"
)

// Difference is the difference of one metric between two builds or settings, second minus first, over the same days.
type Difference struct {
	Name string
	// Mean is the mean over the days; StandardError is the standard error of the mean.
	Mean, StandardError float64
	Days                int
}

// minStandardErrors is how many standard errors a significant mean exceeds. 19 of 20 comparisons of a build with
// itself stay within them.
const minStandardErrors = 2

// minDifference is the mean that a significant difference exceeds, whatever the standard error: the mean over 15
// days of one build varies by this much (docs/DEVELOPING.md).
const minDifference = 0.003

// Significant reports whether the difference is larger than random variation.
func (d Difference) Significant() bool {
	return math.Abs(d.Mean) > max(minStandardErrors*d.StandardError, minDifference)
}

// DayResult holds the results of a day.
type DayResult struct {
	Report dayreport.Report
	// Losses are those of its Breakdown; empty if the day has no logs.
	Losses []Loss
}

// Compare pairs the days of two builds, in order, and returns the differences of the net score, the gross score, the
// score of each class, each penalty and the loss to each cause.
func Compare(before, after []DayResult) ([]Difference, error) {
	if len(before) != len(after) || len(before) == 0 {
		return nil, errors.NotValidf("comparison of %d reports before and %d after (the numbers must be equal and above 0)", len(before), len(after))
	}
	var names []string
	pairs := make(map[string][]float64)
	record := func(name string, difference float64) {
		if _, found := pairs[name]; !found {
			names = append(names, name)
		}
		pairs[name] = append(pairs[name], difference)
	}
	for index := range before {
		first, second := metricsOf(before[index]), metricsOf(after[index])
		for _, name := range first.names {
			record(name, second.values[name]-first.values[name])
		}
		for _, name := range second.names {
			if _, found := first.values[name]; !found {
				record(name, second.values[name])
			}
		}
	}
	differences := make([]Difference, 0, len(names))
	for _, name := range names {
		differences = append(differences, newDifference(name, pairs[name], len(before)))
	}
	return differences, nil
}

// metricSet holds the metrics of a day, in order.
type metricSet struct {
	names  []string
	values map[string]float64
}

func metricsOf(day DayResult) metricSet {
	report := day.Report
	set := metricSet{values: make(map[string]float64)}
	add := func(name string, value float64) {
		set.names = append(set.names, name)
		set.values[name] = value
	}
	add("worth", report.NetScore)
	add("earned over the whole day", report.GrossScore)
	for _, class := range report.Classes {
		add("earned by "+class.Name, class.ScoreFraction)
	}
	for _, penalty := range report.Penalties {
		add(penaltyPrefix+penalty.Name, penalty.Fraction)
	}
	for _, loss := range day.Losses {
		add("lost, "+loss.Cause, loss.Fraction)
	}
	return set
}

// newDifference returns the statistics of a metric. For days without the metric, the difference is 0.
func newDifference(name string, dayDifferences []float64, days int) Difference {
	difference := Difference{Name: name, Days: days}
	for _, dayDifference := range dayDifferences {
		difference.Mean += dayDifference / float64(days)
	}
	if days < 2 {
		return difference
	}
	squares := float64(days-len(dayDifferences)) * difference.Mean * difference.Mean
	for _, dayDifference := range dayDifferences {
		squares += (dayDifference - difference.Mean) * (dayDifference - difference.Mean)
	}
	difference.StandardError = math.Sqrt(squares / float64(days-1) / float64(days))
	return difference
}
