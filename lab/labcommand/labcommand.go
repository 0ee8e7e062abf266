// Package labcommand is the lab's command line.
package labcommand

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/tuliphall/tuliphall/lab/claims"
	"github.com/tuliphall/tuliphall/lab/datapath"
	"github.com/tuliphall/tuliphall/lab/experiment"
	"github.com/tuliphall/tuliphall/lab/rolling"
	"github.com/tuliphall/tuliphall/settings"
)

// Run runs the command line.
func Run(arguments []string, out io.Writer) error {
	parser := flags.NewNamedParser("lab", flags.HelpFlag|flags.PassDoubleDash)
	experiments, err := parser.AddCommand("experiment", "Run and compare experiments", "", &struct{}{})
	if err != nil {
		return err
	}
	if _, err := experiments.AddCommand("run", "Run an experiment", "", &experimentRun{out: out}); err != nil {
		return err
	}
	if _, err := experiments.AddCommand("agree", "Compare the simulator with real daemons", "", &agree{out: out}); err != nil {
		return err
	}
	if _, err := experiments.AddCommand("plot", "Draw the results", "", &experimentPlot{}); err != nil {
		return err
	}
	for _, one := range []struct {
		name, short string
		action      flags.Commander
	}{
		{"account", "Say where the worth of a day was lost", &accountRun{out: out}},
		{"compare", "Compare two builds on the same days", &compareRun{out: out}},
		{"soak", "Harm a fleet of real processes and check the promises", &soakRun{out: out}},
		{"demo", "Run a daemon with two example back ends", &demo{out: out}},
		{"platform", "Serve a stand-in for the platform", &platformServe{}},
		{"backend", "Serve a stand-in for a back end", &backendServe{}},
		{"fetch", "Print the whole answer to one request", &fetchRun{out: out}},
		{"sleep", "Wait", &sleepRun{}},
		{"claims", "Measure how many operations are claimed", &claimsRun{out: out}},
		{"data-path", "Measure what the daemon adds to a request", &dataPathRun{out: out}},
		{"rolling-restart", "Restart a fleet of daemon processes under load", &rollingRun{out: out}},
		{"load", "Send load", &loadRun{out: out}},
		{"site", "Bring up a whole site, send load, and end", &siteRun{out: out}},
	} {
		if _, err := parser.AddCommand(one.name, one.short, "", one.action); err != nil {
			return err
		}
	}
	_, err = parser.ParseArgs(arguments)
	var usage *flags.Error
	if stderrors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, err = fmt.Fprintln(out, usage.Message)
	}
	return err
}

type experimentRun struct {
	out       io.Writer
	Save      string `long:"save" value-name:"FILE" description:"write the results as JSON"`
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *experimentRun) Execute([]string) error {
	file, err := experiment.Load(c.Arguments.File)
	if err != nil {
		return err
	}
	report, err := experiment.Run(file, c.out)
	if err != nil {
		return err
	}
	if c.Save != "" {
		if err := saveJSON(c.Save, report); err != nil {
			return err
		}
	}
	return report.Print(c.out)
}

type dataPathRun struct {
	out      io.Writer
	Duration time.Duration `long:"duration" default:"1s" description:"length of one slice"`
	Slices   int           `long:"slices" default:"5" description:"slices of each way, in turn"`
	Save     string        `long:"save" value-name:"FILE" description:"write the results as JSON"`
}

// Execute implements flags.Commander.
func (c *dataPathRun) Execute([]string) error {
	rows, err := datapath.Run(context.Background(), datapath.Options{SliceDuration: c.Duration, Slices: c.Slices}, c.out)
	if err != nil {
		return err
	}
	if c.Save != "" {
		if err := saveJSON(c.Save, rows); err != nil {
			return err
		}
	}
	return datapath.Print(c.out, rows)
}

type claimsRun struct {
	out    io.Writer
	Length time.Duration `long:"length" default:"5s" description:"length of one row"`
	Save   string        `long:"save" value-name:"FILE" description:"write the results as JSON"`
}

// Execute implements flags.Commander.
func (c *claimsRun) Execute([]string) error {
	var rows []claims.Result
	for _, callers := range []int{1, 10, 100, 1000} {
		row := claims.Measure(settings.DefaultWritesPerSecond, callers, c.Length)
		rows = append(rows, row)
		if _, err := fmt.Fprintf(c.out, "%d callers: %.0f operations/s, %.1f writes/s, %.0f bytes/s, claim %.0f ms\n",
			callers, row.OperationsPerSecond, row.WritesPerSecond, row.BytesPerSecond, row.MeanClaimMS); err != nil {
			return err
		}
	}
	if c.Save == "" {
		return nil
	}
	return saveJSON(c.Save, rows)
}

func saveJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

type rollingRun struct {
	out     io.Writer
	Binary  string        `long:"binary" required:"true" value-name:"FILE" description:"tuliphalld, built before"`
	Daemons int           `long:"daemons" default:"18" description:"number of processes"`
	Streams time.Duration `long:"streams" default:"10s" description:"length of the stream through each daemon"`
	Rate    float64       `long:"rate" default:"300" description:"requests a second, all daemons together"`
}

// Execute implements flags.Commander.
func (c *rollingRun) Execute([]string) error {
	folder, err := os.MkdirTemp("", "rolling")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	result, err := rolling.Run(ctx, rolling.Options{Binary: c.Binary, Directory: folder, Daemons: c.Daemons, StreamDuration: c.Streams, Rate: c.Rate}, c.out)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%d daemons restarted; %d streams of %s, %d cut; %d requests, %d lost %s\n",
		result.Restarts, result.Streams, c.Streams, result.InterruptedStreams, result.SentRequests, result.FailedRequests, result.FirstFailure)
	return err
}
