// Package labcommand implements the command line of the lab.
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

// Run parses the arguments and runs the command that they name.
func Run(arguments []string, out io.Writer) error {
	parser := flags.NewNamedParser("lab", flags.HelpFlag|flags.PassDoubleDash)
	experiments, err := parser.AddCommand("experiment", "Run and compare experiments", "", &struct{}{})
	if err != nil {
		return err
	}
	if _, err := experiments.AddCommand("run", "Run an experiment", "", &experimentCommand{out: out}); err != nil {
		return err
	}
	if _, err := experiments.AddCommand("agree", "Compare the simulator with real daemons", "", &agreeCommand{out: out}); err != nil {
		return err
	}
	if _, err := experiments.AddCommand("plot", "Draw the results", "", &plotCommand{}); err != nil {
		return err
	}
	for _, command := range []struct {
		name, short string
		action      flags.Commander
	}{
		{"account", "Say where the worth of a day was lost", &accountCommand{out: out}},
		{"compare", "Compare two builds on the same days", &compareCommand{out: out}},
		{"soak", "Harm a fleet of real processes and check the promises", &soakCommand{out: out}},
		{"demo", "Run a daemon with two example back ends", &demoCommand{out: out}},
		{"platform", "Serve a stand-in for the platform", &platformCommand{}},
		{"backend", "Serve a stand-in for a back end", &backendCommand{}},
		{"fetch", "Print the whole answer to one request", &fetchCommand{out: out}},
		{"sleep", "Wait", &sleepCommand{}},
		{"claims", "Measure how many operations are claimed", &claimsCommand{out: out}},
		{"data-path", "Measure what the daemon adds to a request", &dataPathCommand{out: out}},
		{"rolling-restart", "Restart a fleet of daemon processes under load", &rollingCommand{out: out}},
		{"load", "Send load", &loadCommand{out: out}},
		{"site", "Bring up a whole site, send load, and end", &siteCommand{out: out}},
	} {
		if _, err := parser.AddCommand(command.name, command.short, "", command.action); err != nil {
			return err
		}
	}
	_, err = parser.ParseArgs(arguments)
	var flagsErr *flags.Error
	if stderrors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, err = fmt.Fprintln(out, flagsErr.Message)
	}
	return err
}

type experimentCommand struct {
	out       io.Writer
	Save      string `long:"save" value-name:"FILE" description:"write the results as JSON"`
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
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

type dataPathCommand struct {
	out      io.Writer
	Duration time.Duration `long:"duration" default:"1s" description:"length of one slice"`
	Slices   int           `long:"slices" default:"5" description:"slices of each way, in turn"`
	Save     string        `long:"save" value-name:"FILE" description:"write the results as JSON"`
}

// Execute implements flags.Commander.
func (c *dataPathCommand) Execute([]string) error {
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

type claimsCommand struct {
	out    io.Writer
	Length time.Duration `long:"length" default:"5s" description:"length of one row"`
	Save   string        `long:"save" value-name:"FILE" description:"write the results as JSON"`
}

// Execute implements flags.Commander.
func (c *claimsCommand) Execute([]string) error {
	var results []claims.Result
	for _, callers := range []int{1, 10, 100, 1000} {
		result := claims.Measure(settings.DefaultWritesPerSecond, callers, c.Length)
		results = append(results, result)
		if _, err := fmt.Fprintf(c.out, "%d callers: %.0f operations/s, %.1f writes/s, %.0f bytes/s, claim %.0f ms\n",
			callers, result.OperationsPerSecond, result.WritesPerSecond, result.BytesPerSecond, result.MeanClaimMS); err != nil {
			return err
		}
	}
	if c.Save == "" {
		return nil
	}
	return saveJSON(c.Save, results)
}

func saveJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

type rollingCommand struct {
	out     io.Writer
	Binary  string        `long:"binary" required:"true" value-name:"FILE" description:"tuliphalld, built before"`
	Daemons int           `long:"daemons" default:"18" description:"number of processes"`
	Streams time.Duration `long:"streams" default:"10s" description:"length of the stream through each daemon"`
	Rate    float64       `long:"rate" default:"300" description:"requests a second, all daemons together"`
}

// Execute implements flags.Commander.
func (c *rollingCommand) Execute([]string) error {
	directory, err := os.MkdirTemp("", "rolling")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	result, err := rolling.Run(ctx, rolling.Options{Binary: c.Binary, Directory: directory, Daemons: c.Daemons, StreamDuration: c.Streams, Rate: c.Rate}, c.out)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%d daemons restarted; %d streams of %s, %d cut; %d requests, %d lost %s\n",
		result.Restarts, result.Streams, c.Streams, result.InterruptedStreams, result.SentRequests, result.FailedRequests, result.FirstFailure)
	return err
}
