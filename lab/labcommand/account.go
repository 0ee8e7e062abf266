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

type accountRun struct {
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
func (c *accountRun) Execute([]string) error {
	sheet, err := dayreport.ReadClassSpecs(c.Site)
	if err != nil {
		return err
	}
	report, made, err := accountOf(sheet, c.Arguments.Report, c.Arguments.Logs)
	if err != nil {
		return err
	}
	if err := c.print(made, report); err != nil || c.Plot == "" {
		return err
	}
	return drawn(made).SaveAt(c.Plot)
}

// accountOf makes the account of a day from its report and logs.
func accountOf(sheet []dayreport.ClassSpec, path string, logs []string) (dayreport.Report, account.Breakdown, error) {
	report, err := dayreport.Read(path)
	if err != nil {
		return dayreport.Report{}, account.Breakdown{}, err
	}
	day := account.Day{Report: report, ClassSpecs: sheet, Log: explain.NewLog()}
	for _, log := range logs {
		if err := readDay(log, &day); err != nil {
			return dayreport.Report{}, account.Breakdown{}, err
		}
	}
	if day.Log.LineCount() == 0 {
		return dayreport.Report{}, account.Breakdown{}, errors.NotFoundf("lines of daemons in the logs of %s", path)
	}
	return report, account.Compute(day), nil
}

// readDay takes in a log, and by its lines when the day began.
func readDay(path string, day *account.Day) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	began, err := explain.ReadTimed(file, day.Log)
	if err != nil {
		return errors.Annotate(err, path)
	}
	if began.After(day.Start) {
		day.Start = began
	}
	return nil
}

// print shows the causes by kind of request, and the prices.
func (c *accountRun) print(made account.Breakdown, report dayreport.Report) error {
	writer := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	header := "lost\tof all\t"
	for _, kind := range report.Classes {
		header += kind.Name + "\t"
	}
	fmt.Fprintln(writer, header+" cause")
	for _, row := range made.Losses {
		line := fmt.Sprintf("%.4f\t%.0f%%\t", row.Fraction, 100*row.Fraction/made.LostFraction)
		for _, kind := range report.Classes {
			line += fmt.Sprintf("%.4f\t", row.ByClass[kind.Name])
		}
		fmt.Fprintln(writer, line+" "+row.Cause)
	}
	for _, row := range made.Penalties {
		fmt.Fprintf(writer, "%.4f\t\t%s %s\n", row.Fraction, strings.Repeat("\t", len(report.Classes)), row.Cause)
	}
	if err := writer.Flush(); err != nil {
		return errors.Trace(err)
	}
	if c.Seconds {
		c.printSeconds(made)
	}
	_, err := fmt.Fprintf(c.out, "sum %.4f, by the report %.4f; unnamed %.0f%%\n", made.LostFraction, made.ReportedFraction, 100*made.UnexplainedShare())
	return errors.Trace(err)
}

// printSeconds shows when each cause struck.
func (c *accountRun) printSeconds(made account.Breakdown) {
	for _, row := range made.Losses {
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

// drawnCauses is how many causes are drawn, the largest first.
const drawnCauses = 6

// drawn is the chart of what was lost for the largest causes over the day.
func drawn(made account.Breakdown) chart.Chart {
	picture := chart.Chart{Title: "Worth lost by cause", XLabel: "second of the day", YLabel: "part of what was owed"}
	last := 0
	for _, row := range made.Losses {
		for second := range row.BySecond {
			last = max(last, second)
		}
	}
	for _, row := range made.Losses[:min(len(made.Losses), drawnCauses)] {
		for second := 0; second <= last; second += account.WindowSeconds {
			picture.AddPoint(row.Cause, chart.Point{X: float64(second), Y: row.BySecond[second]})
		}
	}
	return picture
}

type compareRun struct {
	out        io.Writer
	Before     []string `long:"before" value-name:"REPORT" required:"true" description:"reports of the first build or setting; may be given several times"`
	After      []string `long:"after" value-name:"REPORT" required:"true" description:"reports of the second on the same days and seeds, in the same order"`
	Site       string   `long:"site" value-name:"FILE" description:"the deployment's sheet; with the logs: causes are compared, too"`
	BeforeLogs []string `long:"before-log" value-name:"LOG" description:"logs of the first, one a report"`
	AfterLogs  []string `long:"after-log" value-name:"LOG" description:"logs of the second, one a report"`
}

// Execute implements flags.Commander.
func (c *compareRun) Execute([]string) error {
	before, err := c.days(c.Before, c.BeforeLogs)
	if err != nil {
		return errors.Annotate(err, "before")
	}
	after, err := c.days(c.After, c.AfterLogs)
	if err != nil {
		return errors.Annotate(err, "after")
	}
	differences, err := account.Compare(before, after)
	if err != nil {
		return err
	}
	writer := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, "mean\tspread\tdiffers\t figure")
	for _, one := range differences {
		fmt.Fprintf(writer, "%+.4f\t%.4f\t%t\t %s\n", one.Mean, one.StandardError, one.Significant(), one.Name)
	}
	fmt.Fprintf(writer, "\t\t\t over %d days\n", len(before))
	return errors.Trace(writer.Flush())
}

// days reads the days of one side.
func (c *compareRun) days(reports, logs []string) ([]account.DayResult, error) {
	if len(logs) > 0 && (c.Site == "" || len(logs) != len(reports)) {
		return nil, errors.NotValidf("%d logs of %d reports, site %q: causes take --site and one log a report; that", len(logs), len(reports), c.Site)
	}
	var sheet []dayreport.ClassSpec
	if len(logs) > 0 {
		var err error
		if sheet, err = dayreport.ReadClassSpecs(c.Site); err != nil {
			return nil, err
		}
	}
	played := make([]account.DayResult, 0, len(reports))
	for index, path := range reports {
		if len(logs) == 0 {
			report, err := dayreport.Read(path)
			if err != nil {
				return nil, err
			}
			played = append(played, account.DayResult{Report: report})
			continue
		}
		report, made, err := accountOf(sheet, path, logs[index:index+1])
		if err != nil {
			return nil, err
		}
		played = append(played, account.DayResult{Report: report, Losses: made.Losses})
	}
	return played, nil
}
