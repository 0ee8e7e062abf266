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

// experimentPlot draws p99 against load for each service, and the timeline of one
// noisy neighbour.
type experimentPlot struct {
	Results string `long:"results" required:"true" value-name:"FILE" description:"results as saved by run"`
	Folder  string `long:"folder" default:"docs/results" description:"where the pictures go"`
}

// Execute implements flags.Commander.
func (c *experimentPlot) Execute([]string) error {
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
		drawn := charts[s.Service]
		if drawn == nil {
			drawn = &chart.Chart{Title: s.Service, XLabel: "load, % of capacity", YLabel: "p99 / oracle"}
			charts[s.Service] = drawn
		}
		drawn.AddPoint(s.System, chart.Point{X: s.Load * 100, Y: s.OracleRatio})
	}
	for service, drawn := range charts {
		if err := drawn.Save(c.Folder, "p99-"+strings.ReplaceAll(service, "/", "-")); err != nil {
			return err
		}
	}
	return c.timeline()
}

// timelineStep is the length of one interval of the timeline.
const timelineStep = 20 * time.Millisecond

// timeline slows one worker of ten threefold for 200 ms.
func (c *experimentPlot) timeline() error {
	drawn := chart.Chart{Title: "a neighbour slows one worker of ten threefold from 2.0 s to 2.2 s", XLabel: "s", YLabel: "p99 of the interval, ms"}
	for _, name := range []string{"own-least", experiment.ProductName, experiment.OracleName} {
		system, err := experiment.FindSystem(name)
		if err != nil {
			return err
		}
		result := simulation.Run(simulation.Scenario{
			Zones: 4, Daemons: 16, Workers: 10, Slots: 3, Work: 5 * time.Millisecond,
			SameZoneDelay: 100 * time.Microsecond, CrossZoneDelay: 1500 * time.Microsecond, HopCost: 60 * time.Microsecond,
			Load: 0.85, Duration: 3 * time.Second, Seed: 1, Timeline: timelineStep,
			Faults: []simulation.Fault{{Kind: simulation.FaultSlow, Worker: 3, From: 2 * time.Second, Until: 2200 * time.Millisecond, Factor: 3}},
		}, system)
		line := chart.Line{Name: name}
		for _, interval := range result.Intervals {
			if interval.From >= 1800*time.Millisecond && interval.From < 2800*time.Millisecond {
				line.Points = append(line.Points, chart.Point{X: interval.From.Seconds(), Y: float64(interval.Latency.ValueAtQuantile(99)) / 1000})
			}
		}
		drawn.Lines = append(drawn.Lines, line)
	}
	return drawn.Save(c.Folder, "timeline")
}
