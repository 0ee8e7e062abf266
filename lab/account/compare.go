package account

import (
	"math"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/platform/dayreport"
)

// Difference is by how much the second of two builds or settings differs from the first, over the same days.
type Difference struct {
	Name string
	// Mean is over the days; Spread is the standard error of that mean.
	Mean, StandardError float64
	Days                int
}

// differsFrom is how many standard errors a mean must be from 0 to count as a difference: 19 of 20 pairs of
// one build stay below it.
const differsFrom = 2

// leastDifference is what is taken for none whatever the spread: 15 days of one build differ by as much in
// the mean (docs/DEVELOPING.md).
const leastDifference = 0.003

// Significant says whether the two differ by more than chance.
func (d Difference) Significant() bool {
	return math.Abs(d.Mean) > max(differsFrom*d.StandardError, leastDifference)
}

// DayResult is a day that was played.
type DayResult struct {
	Report dayreport.Report
	// Losses are the rows of its account; none where there are no logs of it.
	Losses []Loss
}

// Compare pairs the days of two builds, in order, and returns the differences of their net worth, of what was
// earned over the whole day, of each kind's, of each price, and of what was lost for each cause.
func Compare(before, after []DayResult) ([]Difference, error) {
	if len(before) != len(after) || len(before) == 0 {
		return nil, errors.NotValidf("%d reports before and %d after: as many of each are compared, in the same order; that", len(before), len(after))
	}
	var names []string
	pairs := make(map[string][]float64)
	note := func(name string, difference float64) {
		if _, known := pairs[name]; !known {
			names = append(names, name)
		}
		pairs[name] = append(pairs[name], difference)
	}
	for index := range before {
		first, second := figures(before[index]), figures(after[index])
		for _, one := range first.names {
			note(one, second.values[one]-first.values[one])
		}
		for _, one := range second.names {
			if _, known := first.values[one]; !known {
				note(one, second.values[one])
			}
		}
	}
	differences := make([]Difference, 0, len(names))
	for _, name := range names {
		differences = append(differences, differenceOf(name, pairs[name], len(before)))
	}
	return differences, nil
}

// figureSet are the figures of a day, in order.
type figureSet struct {
	names  []string
	values map[string]float64
}

func figures(day DayResult) figureSet {
	report := day.Report
	set := figureSet{values: make(map[string]float64)}
	add := func(name string, value float64) {
		set.names = append(set.names, name)
		set.values[name] = value
	}
	add("worth", report.NetScore)
	add("earned over the whole day", report.GrossScore)
	for _, kind := range report.Classes {
		add("earned by "+kind.Name, kind.ScoreFraction)
	}
	for _, price := range report.Penalties {
		add(pricePrefix+price.Name, price.Fraction)
	}
	for _, row := range day.Losses {
		add("lost, "+row.Cause, row.Fraction)
	}
	return set
}

// differenceOf sums up the differences of a figure; on days that are not among them it was 0 in both.
func differenceOf(name string, pairs []float64, days int) Difference {
	made := Difference{Name: name, Days: days}
	for _, one := range pairs {
		made.Mean += one / float64(days)
	}
	if days < 2 {
		return made
	}
	squares := float64(days-len(pairs)) * made.Mean * made.Mean
	for _, one := range pairs {
		squares += (one - made.Mean) * (one - made.Mean)
	}
	made.StandardError = math.Sqrt(squares / float64(days-1) / float64(days))
	return made
}
