package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/explain"
)

// explainCommand tells from logs how a request ended. It asks no daemon.
type explainCommand struct {
	global  *global
	Summary bool `long:"summary" description:"group all failed requests by cause"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(arguments []string) error {
	request, files := "", arguments
	if !c.Summary {
		if len(arguments) == 0 {
			return &flags.Error{Type: flags.ErrRequired, Message: "give the id of a request, or --summary"}
		}
		request, files = arguments[0], arguments[1:]
	}
	log, err := readLogs(files)
	if err != nil {
		return err
	}
	if c.Summary {
		return c.summarize(log)
	}
	explained, err := log.Explain(request)
	if errors.Is(err, errors.NotFound) {
		return &exit{code: ExitNotFound, cause: err}
	}
	if err != nil {
		return err
	}
	if c.global.Output == outputJSON {
		return c.printJSON(explained)
	}
	return explained.Print(c.global.out)
}

// readLogs reads log files, "-" being the standard input, which is also read where
// none is named.
func readLogs(files []string) (*explain.Log, error) {
	if len(files) == 0 {
		files = []string{"-"}
	}
	log := explain.NewLog()
	for _, name := range files {
		if err := readLog(name, log); err != nil {
			return nil, &exit{code: ExitUsage, cause: errors.Annotate(err, name)}
		}
	}
	return log, nil
}

func readLog(name string, into *explain.Log) error {
	var from io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer file.Close()
		from = file
	}
	return explain.Read(from, into)
}

// explained is an explanation in JSON.
type explained struct {
	Request  string   `json:"request"`
	Cause    string   `json:"cause"`
	At       string   `json:"at"`
	Sentence string   `json:"sentence"`
	Belief   string   `json:"belief,omitempty"`
	Lines    []string `json:"lines"`
}

func (c *explainCommand) printJSON(one explain.Explanation) error {
	printed := explained{Request: one.Request, Cause: one.Cause.Kind, At: one.Cause.Subject, Sentence: one.Cause.Description, Belief: one.Cause.Assumption}
	for _, line := range one.Lines {
		printed.Lines = append(printed.Lines, line.Text)
	}
	return json.NewEncoder(c.global.out).Encode(printed)
}

// group is a group of failed requests in JSON.
type group struct {
	Cause    string    `json:"cause"`
	Requests int       `json:"requests"`
	Most     string    `json:"most_at"`
	Count    int       `json:"most_at_requests"`
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Example  string    `json:"example"`
}

func (c *explainCommand) printGroups(groups []explain.Group) error {
	printed := make([]group, 0, len(groups))
	for _, one := range groups {
		printed = append(printed, group{
			Cause: one.Kind, Requests: one.Requests, Most: one.TopSubject, Count: one.TopCount,
			From: one.First.Time, To: one.Last.Time, Example: one.Example.Request,
		})
	}
	return json.NewEncoder(c.global.out).Encode(printed)
}

func (c *explainCommand) summarize(log *explain.Log) error {
	groups := log.Summarize()
	if c.global.Output == outputJSON {
		return c.printGroups(groups)
	}
	rows := [][]string{{"REQUESTS", "CAUSE", "MOST AT", "FROM", "TO", "FOR EXAMPLE"}}
	for _, one := range groups {
		rows = append(rows, []string{
			strconv.Itoa(one.Requests), one.Kind, fmt.Sprintf("%s (%d)", one.TopSubject, one.TopCount),
			one.First.Time.Format(time.TimeOnly), one.Last.Time.Format(time.TimeOnly), one.Example.Request,
		})
	}
	return c.global.printTable(rows)
}
