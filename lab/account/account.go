// Package account attributes the value that was lost on a day to causes. Each counted request that did not earn
// its full value is put under one cause. The day's report says how much each class lost; the daemons' logs say
// why, by the rules of package explain. The package does no I/O.
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

// Causes that the rules of package explain do not give.
const (
	// LateAfterCallerRetry is for requests that were late only if measured from their first try, which was refused
	// or failed.
	LateAfterCallerRetry = "late: came back after a refusal or a failure"
	// Unconnected is for requests whose connection no daemon accepted.
	Unconnected = "failed: no daemon took the connection"
	// Unexplained is for requests whose loss no rule explains.
	Unexplained = explain.LateUnexplained
	// penaltyPrefix precedes the names of penalties.
	penaltyPrefix = "price: "
)

// Loss is the value lost to one cause, as a fraction of the value of all counted requests of the day.
type Loss struct {
	Cause    string
	Fraction float64
	ByClass  map[string]float64
	// BySecond holds the part of Fraction that was lost in each window, by the second of the day at which it starts.
	BySecond map[int]float64
}

// Breakdown is the lost value of a day by cause.
type Breakdown struct {
	// Losses are sorted in descending order and do not include the penalties.
	Losses    []Loss
	Penalties []Loss
	// LostFraction is the sum of Losses; ReportedFraction is the loss according to the report.
	LostFraction, ReportedFraction float64
}

// UnexplainedShare returns the unexplained part of LostFraction.
func (b Breakdown) UnexplainedShare() float64 {
	for _, loss := range b.Losses {
		if loss.Cause == Unexplained && b.LostFraction > 0 {
			return loss.Fraction / b.LostFraction
		}
	}
	return 0
}

// Day is the input of Compute.
type Day struct {
	Report     dayreport.Report
	ClassSpecs []dayreport.ClassSpec
	Log        *explain.Log
	// Start is when second 0 of the day begins, by the daemons' clocks.
	Start time.Time
}

// outcomeCounts counts the requests of a policy by outcome, cause and window.
type outcomeCounts struct {
	late, refused, failed causeCounts
	// inTime counts requests that were answered in time, overRate those that were refused because their tenant
	// exceeded its rate, which do not count for the score.
	inTime, overRate int
}

// causeCounts counts requests by cause and by the second at which their window starts.
type causeCounts struct {
	total   int
	byCause map[string]map[int]int
}

func (c *causeCounts) add(cause string, window int) {
	if c.byCause == nil {
		c.byCause = make(map[string]map[int]int)
	}
	if c.byCause[cause] == nil {
		c.byCause[cause] = make(map[int]int)
	}
	c.byCause[cause][window]++
	c.total++
}

// WindowSeconds is the length of the windows in which causes are counted.
const WindowSeconds = 2

// Compute attributes the losses of a day.
func Compute(day Day) Breakdown {
	counts := countOutcomes(day)
	countedValue := 0.0
	specs := make(map[string]dayreport.ClassSpec)
	for _, spec := range day.ClassSpecs {
		specs[spec.Name] = spec
	}
	for _, class := range day.Report.Classes {
		countedValue += specs[class.Name].Value * float64(class.Counted())
	}
	accumulator := lossAccumulator{losses: make(map[string]*Loss)}
	for _, class := range day.Report.Classes {
		spec := specs[class.Name]
		accumulator.requestFraction = spec.Value / countedValue
		accumulator.attribute(class, spec, counts[spec.Policy()], day.Report)
	}
	breakdown := Breakdown{ReportedFraction: 1 - day.Report.GrossScore, Losses: accumulator.sorted()}
	for _, loss := range breakdown.Losses {
		breakdown.LostFraction += loss.Fraction
	}
	for _, penalty := range day.Report.Penalties {
		breakdown.Penalties = append(breakdown.Penalties, Loss{Cause: penaltyPrefix + penalty.Name, Fraction: penalty.Fraction})
	}
	slices.SortFunc(breakdown.Penalties, func(a, b Loss) int { return cmp.Compare(b.Fraction, a.Fraction) })
	return breakdown
}

// countOutcomes counts the outcomes of the requests in the logs.
func countOutcomes(day Day) map[dayreport.Policy]*outcomeCounts {
	counts := make(map[dayreport.Policy]*outcomeCounts)
	objective := func(class string) time.Duration {
		policy, _ := dayreport.ParsePolicyName(class)
		return policy.Objective
	}
	for _, outcome := range day.Log.Outcomes(objective) {
		policy, known := dayreport.ParsePolicyName(outcome.Line.Class)
		if !known {
			continue // not a class that counts: no route, or no configuration yet
		}
		if counts[policy] == nil {
			counts[policy] = &outcomeCounts{}
		}
		window := int(math.Floor(outcome.Line.Time.Sub(day.Start).Seconds()/WindowSeconds)) * WindowSeconds
		switch {
		case outcome.Late:
			counts[policy].late.add(outcome.Cause.Kind, window)
		case outcome.Succeeded():
			counts[policy].inTime++
		case outcome.Line.Code == int(resultcode.RateExceeded):
			counts[policy].overRate++
		case outcome.Line.Run == string(resultcode.NotRun):
			counts[policy].refused.add("refused: "+outcome.Cause.Kind, window)
		default:
			counts[policy].failed.add("failed: "+outcome.Cause.Kind, window)
		}
	}
	return counts
}

// lossAccumulator sums up the losses by cause.
type lossAccumulator struct {
	losses          map[string]*Loss
	requestFraction float64 // value of one request of the class, as a fraction of the value of all counted requests
	lostPerRequest  float64 // mean loss of a refused or failed request, as a fraction of its value
}

// attribute distributes the loss of a class over its causes, in proportion to the loss per request: refused and
// failed requests lose their whole value, late ones the difference between Value and LateValue. The sum is scaled
// to the loss in the report, which is smaller because some requests earn a part after a refusal and a retry.
func (b *lossAccumulator) attribute(class dayreport.ClassResult, spec dayreport.ClassSpec, counts *outcomeCounts, report dayreport.Report) {
	if counts == nil {
		counts = &outcomeCounts{}
	}
	refused := float64(class.Refused)
	if counts.overRate > 0 {
		refused *= float64(counts.refused.total) / float64(counts.refused.total+counts.overRate)
	}
	late := float64(class.Late)
	if spec.Value > 0 {
		late *= 1 - spec.LateValue/spec.Value
	}
	total := late + refused + float64(class.Failed)
	if total == 0 {
		return
	}
	b.lostPerRequest = class.LostRequests() / total
	b.distribute(class.Name, refused, counts.refused)
	// The report does not give unconnected requests by class, so each class gets a part in proportion to its failures.
	unconnected := float64(class.Failed) * min(float64(report.Unconnected)/float64(max(report.Failed(), 1)), 1)
	b.add(Unconnected, class.Name, 0, unconnected)
	b.distribute(class.Name, float64(class.Failed)-unconnected, counts.failed)
	if counts.late.total+counts.inTime == 0 {
		b.add(Unexplained, class.Name, 0, late)
		return
	}
	// The logs show a late response for a late request, unless it is late only if measured from its first try.
	lateInLogs := min(float64(counts.late.total)/float64(max(class.Late, 1)), 1)
	b.distribute(class.Name, late*lateInLogs, counts.late)
	b.add(LateAfterCallerRetry, class.Name, 0, late*(1-lateInLogs))
}

// distribute puts requests under causes in the proportions of the logs.
func (b *lossAccumulator) distribute(class string, requests float64, counts causeCounts) {
	if counts.total == 0 {
		b.add(Unexplained, class, 0, requests)
		return
	}
	for cause, windows := range counts.byCause {
		for window, count := range windows {
			b.add(cause, class, window, requests*float64(count)/float64(counts.total))
		}
	}
}

func (b *lossAccumulator) add(cause, class string, window int, requests float64) {
	if requests == 0 {
		return
	}
	loss := b.losses[cause]
	if loss == nil {
		loss = &Loss{Cause: cause, ByClass: make(map[string]float64), BySecond: make(map[int]float64)}
		b.losses[cause] = loss
	}
	lost := requests * b.lostPerRequest * b.requestFraction
	loss.Fraction += lost
	loss.ByClass[class] += lost
	loss.BySecond[window] += lost
}

// sorted returns the losses in descending order.
func (b *lossAccumulator) sorted() []Loss {
	losses := make([]Loss, 0, len(b.losses))
	for _, loss := range b.losses {
		losses = append(losses, *loss)
	}
	slices.SortFunc(losses, func(a, c Loss) int {
		return cmp.Or(cmp.Compare(c.Fraction, a.Fraction), cmp.Compare(a.Cause, c.Cause))
	})
	return losses
}
