package labcommand

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/tuliphall/tuliphall/lab/chart"
	"github.com/tuliphall/tuliphall/lab/experiment"
	"github.com/tuliphall/tuliphall/lab/simulation"
)

// plotCommand draws p99 against load for each service, and the timeline of a run with one
// noisy neighbour.
type plotCommand struct {
	Results string `long:"results" required:"true" value-name:"FILE" description:"results as saved by run"`
	Folder  string `long:"folder" default:"docs/results" description:"where the pictures go"`
}

// Execute implements flags.Commander.
func (c *plotCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Results)
	if err != nil {
		return err
	}
	var report experiment.Report
	if err := json.Unmarshal(data, &report); err != nil {
		return err
	}
	charts := make(map[string]*chart.Chart)
	for _, s := range report.Summaries() {
		loadChart := charts[s.Service]
		if loadChart == nil {
			loadChart = &chart.Chart{Title: s.Service, XLabel: "load, % of capacity", YLabel: "p99 / oracle"}
			charts[s.Service] = loadChart
		}
		loadChart.AddPoint(s.System, chart.Point{X: s.Load * 100, Y: s.OracleRatio})
	}
	for service, loadChart := range charts {
		if err := loadChart.Save(c.Folder, "p99-"+strings.ReplaceAll(service, "/", "-")); err != nil {
			return err
		}
	}
	return c.timeline()
}

// timelineInterval is the length of one interval of the timeline.
const timelineInterval = 20 * time.Millisecond

// timeline simulates a run in which one of ten back ends is slowed threefold for 200 ms, and draws the p99
// of each interval.
func (c *plotCommand) timeline() error {
	timelineChart := chart.Chart{Title: "a neighbour slows one worker of ten threefold from 2.0 s to 2.2 s", XLabel: "s", YLabel: "p99 of the interval, ms"}
	for _, name := range []string{"own-least", experiment.ProductName, experiment.OracleName} {
		system, err := experiment.FindSystem(name)
		if err != nil {
			return err
		}
		result := simulation.Run(simulation.Scenario{
			Zones: 4, Daemons: 16, Workers: 10, Slots: 3, Work: 5 * time.Millisecond,
			SameZoneDelay: 100 * time.Microsecond, CrossZoneDelay: 1500 * time.Microsecond, HopCost: 60 * time.Microsecond,
			Load: 0.85, Duration: 3 * time.Second, Seed: 1, Timeline: timelineInterval,
			Faults: []simulation.Fault{{Kind: simulation.FaultSlow, Worker: 3, From: 2 * time.Second, Until: 2200 * time.Millisecond, Factor: 3}},
		}, system)
		line := chart.Line{Name: name}
		for _, interval := range result.Intervals {
			if interval.From >= 1800*time.Millisecond && interval.From < 2800*time.Millisecond {
				line.Points = append(line.Points, chart.Point{X: interval.From.Seconds(), Y: float64(interval.Latency.ValueAtQuantile(99)) / 1000})
			}
		}
		timelineChart.Lines = append(timelineChart.Lines, line)
	}
	return timelineChart.Save(c.Folder, "timeline")
}
