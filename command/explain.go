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

// explainCommand explains from logs how a request ended. It does not call a daemon.
type explainCommand struct {
	global  *globalOptions
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
	explanation, err := log.Explain(request)
	if errors.Is(err, errors.NotFound) {
		return &exitError{code: ExitNotFound, cause: err}
	}
	if err != nil {
		return err
	}
	if c.global.Output == outputJSON {
		return c.printJSON(explanation)
	}
	return explanation.Print(c.global.out)
}

// readLogs reads log files. "-" is the standard input, which is also read if no file is given.
func readLogs(files []string) (*explain.Log, error) {
	if len(files) == 0 {
		files = []string{"-"}
	}
	log := explain.NewLog()
	for _, name := range files {
		if err := readLog(name, log); err != nil {
			return nil, &exitError{code: ExitUsage, cause: errors.Annotate(err, name)}
		}
	}
	return log, nil
}

func readLog(name string, log *explain.Log) error {
	var reader io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer file.Close()
		reader = file
	}
	return explain.Read(reader, log)
}

// explanationJSON is the JSON output for an explanation.
type explanationJSON struct {
	Request  string   `json:"request"`
	Cause    string   `json:"cause"`
	At       string   `json:"at"`
	Sentence string   `json:"sentence"`
	Belief   string   `json:"belief,omitempty"`
	Lines    []string `json:"lines"`
}

func (c *explainCommand) printJSON(explanation explain.Explanation) error {
	printed := explanationJSON{Request: explanation.Request, Cause: explanation.Cause.Kind, At: explanation.Cause.Subject, Sentence: explanation.Cause.Description, Belief: explanation.Cause.Assumption}
	for _, line := range explanation.Lines {
		printed.Lines = append(printed.Lines, line.Text)
	}
	return json.NewEncoder(c.global.out).Encode(printed)
}

// groupJSON is the JSON output for a group of failed requests.
type groupJSON struct {
	Cause    string    `json:"cause"`
	Requests int       `json:"requests"`
	Most     string    `json:"most_at"`
	Count    int       `json:"most_at_requests"`
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Example  string    `json:"example"`
}

func (c *explainCommand) printGroups(groups []explain.Group) error {
	printed := make([]groupJSON, 0, len(groups))
	for _, group := range groups {
		printed = append(printed, groupJSON{
			Cause: group.Kind, Requests: group.Requests, Most: group.TopSubject, Count: group.TopCount,
			From: group.First.Time, To: group.Last.Time, Example: group.Example.Request,
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
	for _, group := range groups {
		rows = append(rows, []string{
			strconv.Itoa(group.Requests), group.Kind, fmt.Sprintf("%s (%d)", group.TopSubject, group.TopCount),
			group.First.Time.Format(time.TimeOnly), group.Last.Time.Format(time.TimeOnly), group.Example.Request,
		})
	}
	return c.global.printTable(rows)
}
