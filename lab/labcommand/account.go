package labcommand

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/explain"
	"github.com/tuliphall/tuliphall/lab/account"
	"github.com/tuliphall/tuliphall/lab/chart"
	"github.com/tuliphall/tuliphall/platform/dayreport"
)

type accountCommand struct {
	out       io.Writer
	Site      string `long:"site" value-name:"FILE" required:"true" description:"the deployment's sheet, which says what requests are worth"`
	Plot      string `long:"plot" value-name:"FOLDER/NAME" description:"draw what was lost over the day as NAME.png and NAME.svg"`
	Seconds   bool   `long:"seconds" description:"show each cause by second, too"`
	Arguments struct {
		Report string   `positional-arg-name:"REPORT" required:"yes"`
		Logs   []string `positional-arg-name:"LOG" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *accountCommand) Execute([]string) error {
	classSpecs, err := dayreport.ReadClassSpecs(c.Site)
	if err != nil {
		return err
	}
	report, result, err := loadAccount(classSpecs, c.Arguments.Report, c.Arguments.Logs)
	if err != nil {
		return err
	}
	if err := c.print(result, report); err != nil || c.Plot == "" {
		return err
	}
	return lossChart(result).SaveAt(c.Plot)
}

// loadAccount reads the report and the logs of a day, and attributes its losses to causes.
func loadAccount(classSpecs []dayreport.ClassSpec, path string, logs []string) (dayreport.Report, account.Breakdown, error) {
	report, err := dayreport.Read(path)
	if err != nil {
		return dayreport.Report{}, account.Breakdown{}, err
	}
	day := account.Day{Report: report, ClassSpecs: classSpecs, Log: explain.NewLog()}
	for _, log := range logs {
		if err := readLog(log, &day); err != nil {
			return dayreport.Report{}, account.Breakdown{}, err
		}
	}
	if day.Log.LineCount() == 0 {
		return dayreport.Report{}, account.Breakdown{}, errors.NotFoundf("daemon log lines for report %s", path)
	}
	return report, account.Compute(day), nil
}

// readLog adds a log to the day. The day begins at the latest start that the logs give.
func readLog(path string, day *account.Day) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	startedAt, err := explain.ReadTimed(file, day.Log)
	if err != nil {
		return errors.Annotate(err, path)
	}
	if startedAt.After(day.Start) {
		day.Start = startedAt
	}
	return nil
}

// print prints what each cause lost, by class of request, and the penalties.
func (c *accountCommand) print(result account.Breakdown, report dayreport.Report) error {
	writer := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	header := "lost\tof all\t"
	for _, kind := range report.Classes {
		header += kind.Name + "\t"
	}
	fmt.Fprintln(writer, header+" cause")
	for _, row := range result.Losses {
		line := fmt.Sprintf("%.4f\t%.0f%%\t", row.Fraction, 100*row.Fraction/result.LostFraction)
		for _, kind := range report.Classes {
			line += fmt.Sprintf("%.4f\t", row.ByClass[kind.Name])
		}
		fmt.Fprintln(writer, line+" "+row.Cause)
	}
	for _, row := range result.Penalties {
		fmt.Fprintf(writer, "%.4f\t\t%s %s\n", row.Fraction, strings.Repeat("\t", len(report.Classes)), row.Cause)
	}
	if err := writer.Flush(); err != nil {
		return errors.Trace(err)
	}
	if c.Seconds {
		c.printBySecond(result)
	}
	_, err := fmt.Fprintf(c.out, "sum %.4f, by the report %.4f; unnamed %.0f%%\n", result.LostFraction, result.ReportedFraction, 100*result.UnexplainedShare())
	return errors.Trace(err)
}

// printBySecond prints what each cause lost in each second.
func (c *accountCommand) printBySecond(result account.Breakdown) {
	for _, row := range result.Losses {
		seconds := make([]int, 0, len(row.BySecond))
		for second := range row.BySecond {
			seconds = append(seconds, second)
		}
		slices.Sort(seconds)
		fmt.Fprintf(c.out, "%s:", row.Cause)
		for _, second := range seconds {
			fmt.Fprintf(c.out, " %d:%.4f", second, row.BySecond[second])
		}
		fmt.Fprintln(c.out)
	}
}

// maxDrawnCauses is the maximum number of causes in the chart, the largest first.
const maxDrawnCauses = 6

// lossChart returns the chart of the losses by the largest causes over the day.
func lossChart(result account.Breakdown) chart.Chart {
	losses := chart.Chart{Title: "Worth lost by cause", XLabel: "second of the day", YLabel: "part of what was owed"}
	last := 0
	for _, row := range result.Losses {
		for second := range row.BySecond {
			last = max(last, second)
		}
	}
	for _, row := range result.Losses[:min(len(result.Losses), maxDrawnCauses)] {
		for second := 0; second <= last; second += account.WindowSeconds {
			losses.AddPoint(row.Cause, chart.Point{X: float64(second), Y: row.BySecond[second]})
		}
	}
	return losses
}

type compareCommand struct {
	out        io.Writer
	Before     []string `long:"before" value-name:"REPORT" required:"true" description:"reports of the first build or setting; may be given several times"`
	After      []string `long:"after" value-name:"REPORT" required:"true" description:"reports of the second on the same days and seeds, in the same order"`
	Site       string   `long:"site" value-name:"FILE" description:"the deployment's sheet; with the logs: causes are compared, too"`
	BeforeLogs []string `long:"before-log" value-name:"LOG" description:"logs of the first, one a report"`
	AfterLogs  []string `long:"after-log" value-name:"LOG" description:"logs of the second, one a report"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	before, err := c.loadRuns(c.Before, c.BeforeLogs)
	if err != nil {
		return errors.Annotate(err, "before")
	}
	after, err := c.loadRuns(c.After, c.AfterLogs)
	if err != nil {
		return errors.Annotate(err, "after")
	}
	differences, err := account.Compare(before, after)
	if err != nil {
		return err
	}
	writer := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, "mean\tspread\tdiffers\t figure")
	for _, difference := range differences {
		fmt.Fprintf(writer, "%+.4f\t%.4f\t%t\t %s\n", difference.Mean, difference.StandardError, difference.Significant(), difference.Name)
	}
	fmt.Fprintf(writer, "\t\t\t over %d days\n", len(before))
	return errors.Trace(writer.Flush())
}

// loadRuns reads the reports of one side of the comparison, and their logs if given.
func (c *compareCommand) loadRuns(reports, logs []string) ([]account.DayResult, error) {
	if len(logs) > 0 && (c.Site == "" || len(logs) != len(reports)) {
		return nil, errors.NotValidf("%d logs for %d reports, --site %q (causes need --site and one log for each report)", len(logs), len(reports), c.Site)
	}
	var classSpecs []dayreport.ClassSpec
	if len(logs) > 0 {
		var err error
		if classSpecs, err = dayreport.ReadClassSpecs(c.Site); err != nil {
			return nil, err
		}
	}
	runs := make([]account.DayResult, 0, len(reports))
	for index, path := range reports {
		if len(logs) == 0 {
			report, err := dayreport.Read(path)
			if err != nil {
				return nil, err
			}
			runs = append(runs, account.DayResult{Report: report})
			continue
		}
		report, result, err := loadAccount(classSpecs, path, logs[index:index+1])
		if err != nil {
			return nil, err
		}
		runs = append(runs, account.DayResult{Report: report, Losses: result.Losses})
	}
	return runs, nil
}
