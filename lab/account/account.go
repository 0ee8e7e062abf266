// Package account says where the worth of a day was lost: each unit that was owed and not earned is put under
// one cause. How much was lost, by kind of request and second, is the users' word; why is told by the daemons'
// logs, by the rules of package explain. Account is pure.
package account

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/explain"
	"github.com/tuliphall/tuliphall/platform/dayreport"
	"github.com/tuliphall/tuliphall/resultcode"
)

// Causes that the logs do not name.
const (
	// LateAfterCallerRetry is a request that was late only from its first try on, which had been refused or had failed.
	LateAfterCallerRetry = "late: came back after a refusal or a failure"
	// Unconnected is one that no daemon took.
	Unconnected = "failed: no daemon took the connection"
	// Unexplained is what no rule explains.
	Unexplained = explain.LateUnexplained
	// pricePrefix begins the names of prices.
	pricePrefix = "price: "
)

// Loss is what was lost for one cause, as a part of what was owed over the day.
type Loss struct {
	Cause    string
	Fraction float64
	ByClass  map[string]float64
	// BySecond is what of it was lost in the span that begins at a second of the day.
	BySecond map[int]float64
}

// Breakdown is where the worth of a day was lost.
type Breakdown struct {
	// Losses are the causes, the largest first; prices are none of them.
	Losses    []Loss
	Penalties []Loss
	// LostFraction is the sum of the rows, and Reported what the report says was not earned.
	LostFraction, ReportedFraction float64
}

// UnexplainedShare returns the part of what was lost that has no named cause.
func (a Breakdown) UnexplainedShare() float64 {
	for _, row := range a.Losses {
		if row.Cause == Unexplained && a.LostFraction > 0 {
			return row.Fraction / a.LostFraction
		}
	}
	return 0
}

// Day is what an account is made of.
type Day struct {
	Report     dayreport.Report
	ClassSpecs []dayreport.ClassSpec
	Log        *explain.Log
	// Start is when the day's seconds begin to count, by the daemons' clocks.
	Start time.Time
}

// ended is how the requests of a policy ended, by cause and window.
type ended struct {
	late, refused, failed causes
	// inTime were answered in time, and overRate refused as their tenant was beyond its rate: what it asks
	// beyond is not owed.
	inTime, overRate int
}

// causes counts requests by cause, and of each by the second at which its span begins.
type causes struct {
	total   int
	byCause map[string]map[int]int
}

func (c *causes) add(cause string, window int) {
	if c.byCause == nil {
		c.byCause = make(map[string]map[int]int)
	}
	if c.byCause[cause] == nil {
		c.byCause[cause] = make(map[int]int)
	}
	c.byCause[cause][window]++
	c.total++
}

// WindowSeconds is how long the spans of the day are in which causes are counted.
const WindowSeconds = 2

// Compute makes the account of a day.
func Compute(day Day) Breakdown {
	seen := endingsOf(day)
	owed := 0.0
	worths := make(map[string]dayreport.ClassSpec)
	for _, sheet := range day.ClassSpecs {
		worths[sheet.Name] = sheet
	}
	for _, kind := range day.Report.Classes {
		owed += worths[kind.Name].Value * float64(kind.Counted())
	}
	book := ledger{rows: make(map[string]*Loss)}
	for _, kind := range day.Report.Classes {
		sheet := worths[kind.Name]
		book.unit = sheet.Value / owed
		book.charge(kind, sheet, seen[sheet.Policy()], day.Report)
	}
	made := Breakdown{ReportedFraction: 1 - day.Report.GrossScore, Losses: book.sorted()}
	for _, row := range made.Losses {
		made.LostFraction += row.Fraction
	}
	for _, price := range day.Report.Penalties {
		made.Penalties = append(made.Penalties, Loss{Cause: pricePrefix + price.Name, Fraction: price.Fraction})
	}
	slices.SortFunc(made.Penalties, func(a, b Loss) int { return cmp.Compare(b.Fraction, a.Fraction) })
	return made
}

// endingsOf counts how requests ended by the logs.
func endingsOf(day Day) map[dayreport.Policy]*ended {
	seen := make(map[dayreport.Policy]*ended)
	objective := func(class string) time.Duration {
		policy, _ := dayreport.ParsePolicyName(class)
		return policy.Objective
	}
	for _, one := range day.Log.Outcomes(objective) {
		policy, known := dayreport.ParsePolicyName(one.Line.Class)
		if !known {
			continue // of no kind that is owed anything: no route, or no configuration yet
		}
		if seen[policy] == nil {
			seen[policy] = &ended{}
		}
		window := int(math.Floor(one.Line.Time.Sub(day.Start).Seconds()/WindowSeconds)) * WindowSeconds
		switch {
		case one.Late:
			seen[policy].late.add(one.Cause.Kind, window)
		case one.Succeeded():
			seen[policy].inTime++
		case one.Line.Code == int(resultcode.RateExceeded):
			seen[policy].overRate++
		case one.Line.Run == string(resultcode.NotRun):
			seen[policy].refused.add("refused: "+one.Cause.Kind, window)
		default:
			seen[policy].failed.add("failed: "+one.Cause.Kind, window)
		}
	}
	return seen
}

// ledger gathers what was lost.
type ledger struct {
	rows map[string]*Loss
	unit float64 // what one request of the kind is worth, as a part of what was owed
	loss float64 // what one request that the report has as lost whole lost, in requests
}

// charge puts what was lost of a kind under its causes, in proportion to what each request lost: refused and
// failed ones all, late ones what an answer in time is worth more. All together lose what the report says, as
// some that came back after a refusal earn a part.
func (b *ledger) charge(kind dayreport.ClassResult, sheet dayreport.ClassSpec, seen *ended, report dayreport.Report) {
	if seen == nil {
		seen = &ended{}
	}
	refused := float64(kind.Refused)
	if seen.overRate > 0 {
		refused *= float64(seen.refused.total) / float64(seen.refused.total+seen.overRate)
	}
	late := float64(kind.Late)
	if sheet.Value > 0 {
		late *= 1 - sheet.LateValue/sheet.Value
	}
	whole := late + refused + float64(kind.Failed)
	if whole == 0 {
		return
	}
	b.loss = kind.LostRequests() / whole
	b.spread(kind.Name, refused, seen.refused)
	// The report does not say of which kind those were that no daemon took.
	unreached := float64(kind.Failed) * min(float64(report.Unconnected)/float64(max(report.Failed(), 1)), 1)
	b.add(Unconnected, kind.Name, 0, unreached)
	b.spread(kind.Name, float64(kind.Failed)-unreached, seen.failed)
	if seen.late.total+seen.inTime == 0 {
		b.add(Unexplained, kind.Name, 0, late)
		return
	}
	// Of the late ones those have no line of a late answer that were late from their first try on only.
	own := min(float64(seen.late.total)/float64(max(kind.Late, 1)), 1)
	b.spread(kind.Name, late*own, seen.late)
	b.add(LateAfterCallerRetry, kind.Name, 0, late*(1-own))
}

// spread puts requests under causes in the proportions in which the logs have them.
func (b *ledger) spread(kind string, requests float64, found causes) {
	if found.total == 0 {
		b.add(Unexplained, kind, 0, requests)
		return
	}
	for cause, windows := range found.byCause {
		for window, count := range windows {
			b.add(cause, kind, window, requests*float64(count)/float64(found.total))
		}
	}
}

func (b *ledger) add(cause, kind string, window int, requests float64) {
	if requests == 0 {
		return
	}
	row := b.rows[cause]
	if row == nil {
		row = &Loss{Cause: cause, ByClass: make(map[string]float64), BySecond: make(map[int]float64)}
		b.rows[cause] = row
	}
	lost := requests * b.loss * b.unit
	row.Fraction += lost
	row.ByClass[kind] += lost
	row.BySecond[window] += lost
}

// sorted returns the rows, the largest first.
func (b *ledger) sorted() []Loss {
	rows := make([]Loss, 0, len(b.rows))
	for _, row := range b.rows {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, c Loss) int {
		return cmp.Or(cmp.Compare(c.Fraction, a.Fraction), cmp.Compare(a.Cause, c.Cause))
	})
	return rows
}
