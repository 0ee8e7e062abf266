// Package command implements the operators' command line.
//
// Commands call the operators' interface of one daemon, which may be any daemon. Each change
// has an id, so that a command whose response was lost can be repeated with --id without
// applying the change twice.
package command

import (
	"context"
	"crypto/rand"
	stderrors "errors"
	"io"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/admin"
	"github.com/tuliphall/tuliphall/config"
)

// Exit codes; see docs/operations/command.md.
const (
	ExitOK          = 0
	ExitFailed      = 1 // unreachable or unavailable; the outcome may be unknown
	ExitUsage       = 2 // invalid arguments or files
	ExitConflict    = 3 // conflict with a change that another operator made before
	ExitNotFound    = 4
	ExitNotInForce  = 5 // wait: some daemons lag
	ExitDifferences = 6 // diff: there are differences
)

// exitError is an error with an exit code.
type exitError struct {
	code  int
	cause error
}

// Error returns the message of the cause.
func (e *exitError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error {
	return e.cause
}

// errDifferences only sets the exit code; its message is not printed.
var errDifferences = &exitError{code: ExitDifferences, cause: errors.New("there are differences")}

// outputJSON selects JSON output.
const outputJSON = "json"

// global are the options of every command.
type globalOptions struct {
	Admin   string        `long:"admin" env:"TULIPHALL_ADMIN" value-name:"URL" default:"http://127.0.0.1:9090" description:"operators' interface of a daemon"`
	Output  string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"output format"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"longest time for the command"`

	out io.Writer
}

func (g *globalOptions) client() *admin.Client {
	return admin.NewClient(g.Admin)
}

func (g *globalOptions) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

// changeOptions are the options of commands that change the configuration.
type changeOptions struct {
	ID      string `long:"id" description:"id of the change; give the same again to settle a lost answer"`
	Author  string `long:"author" env:"USER" default:"operator" description:"name noted in the history"`
	Message string `short:"m" long:"message" description:"why; noted in the history"`
	DryRun  bool   `long:"dry-run" description:"check and show, but change nothing"`
}

// edit returns an edit with the id, author and message of the options. summary is used if there
// is no message.
func (o *changeOptions) edit(summary string) config.Edit {
	if o.ID == "" {
		o.ID = rand.Text()
	}
	if o.Message != "" {
		summary = o.Message
	}
	return config.Edit{ID: o.ID, Author: o.Author, Summary: summary}
}

// Run executes the command line and returns the exit code. An error is to be printed for the
// operator.
func Run(arguments []string, out io.Writer) (int, error) {
	options := &globalOptions{out: out}
	parser := flags.NewNamedParser("tuliphall", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return ExitUsage, err
	}
	for _, spec := range commands(options) {
		if _, err := parser.AddCommand(spec.name, spec.short, spec.long, spec.commander); err != nil {
			return ExitUsage, err
		}
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(err, out)
}

// exitCode returns the exit code for an error, and the error if it is to be printed. It prints
// help to out.
func exitCode(err error, out io.Writer) (int, error) {
	if err == nil {
		return ExitOK, nil
	}
	var usage *flags.Error
	if stderrors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, printErr := io.WriteString(out, usage.Message+"\n")
			return ExitOK, printErr
		}
		return ExitUsage, err
	}
	var coded *exitError
	if stderrors.As(err, &coded) {
		if coded == errDifferences {
			return coded.code, nil
		}
		return coded.code, err
	}
	var callError *admin.CallError
	if !stderrors.As(err, &callError) {
		return ExitFailed, err
	}
	switch callError.Kind {
	case admin.ErrorConflict:
		return ExitConflict, err
	case admin.ErrorInvalid:
		return ExitUsage, err
	case admin.ErrorNotFound:
		return ExitNotFound, err
	}
	return ExitFailed, err
}

// commandSpec describes a command for the parser.
type commandSpec struct {
	name      string
	short     string
	long      string
	commander flags.Commander
}

func commands(g *globalOptions) []commandSpec {
	return []commandSpec{
		{"apply", "Declare the objects in files", "Declares services, routes, placements, policies, zones, tenants, rollouts and limits. Prints the revision.\n\nExample: tuliphall apply -f prices.toml --wait", &applyCommand{global: g}},
		{"validate", "Check files without a daemon", "Checks files by themselves.\n\nExample: tuliphall validate -f prices.toml", &validateCommand{global: g}},
		{"diff", "Show what apply would change", "Exits with 6 when there are differences.\n\nExample: tuliphall diff -f prices.toml", &diffCommand{global: g}},
		{"get", "List objects", "Lists the objects of a kind: service, route, placement, policy, zone, tenant, rollout or limits.\n\nExample: tuliphall get service", &getCommand{global: g}},
		{"describe", "Show one object and its state", "Example: tuliphall describe service price-query", &describeCommand{global: g}},
		{"delete", "Remove objects", "Example: tuliphall delete policy reads", &deleteCommand{global: g}},
		{"history", "List the changes made", "Example: tuliphall history", &historyCommand{global: g}},
		{"rollback", "Take back to an earlier revision", "Makes a new revision with the content of an earlier one.\n\nExample: tuliphall rollback 12", &rollbackCommand{global: g}},
		{"status", "Show who has which revision in force", "Example: tuliphall status", &statusCommand{global: g}},
		{"wait", "Wait until a revision is in force everywhere", "Exits with 5 and names the daemons that lag when time runs out.\n\nExample: tuliphall wait 12", &waitCommand{global: g}},
		{"explain", "Tell from logs why a request ended as it did", "Reads the logs of any number of daemons, from files or the standard input, and asks no daemon.\n\nExamples: tuliphall explain 473cecd9ab6907cc *.log; tuliphall explain --summary *.log", &explainCommand{global: g}},
		{"drain", "Send no new requests to a back end", "Example: tuliphall drain price-query p3", &drainCommand{global: g, drained: true}},
		{"undrain", "Send requests to a back end again", "Example: tuliphall undrain price-query p3", &drainCommand{global: g, drained: false}},
		{"evacuate", "Send no new requests to the back ends of a zone", "For all services at once. Requests at work there end in peace.\n\nExample: tuliphall evacuate zone-a --wait", &evacuateCommand{global: g, evacuated: true}},
		{"restore", "Send requests to an evacuated zone again", "Its back ends are spared at first, as they may have turned cold.\n\nExample: tuliphall restore zone-a", &evacuateCommand{global: g, evacuated: false}},
		{"quarantined", "List requests under which back ends ended", "With those that are held back first. A request that an answer has refuted is not listed.\n\nExample: tuliphall quarantined", &quarantinedCommand{global: g}},
		{"quarantine", "Hold requests back from all back ends", "By fingerprint, as quarantined and the log's lines 'connection broke' have it. In force at once, and at all daemons within seconds.\n\nExample: tuliphall quarantine 86cde54698289abc", &quarantineCommand{global: g}},
		{"release", "Let requests through that are held back", "What was noted of them is forgotten; should they end back ends again, they are held back again.\n\nExample: tuliphall release 86cde54698289abc", &quarantineCommand{global: g, release: true}},
		{"rollouts", "List rollouts and how far they are", "As the asked daemon knows them, with what decided each phase.\n\nExample: tuliphall rollouts", &rolloutsCommand{global: g}},
		{"tenants", "Show what tenants use of their rates", "Over all daemons: what is left of each tenant's rate and burst, and how many of its requests were served and refused since the daemons that count began to. Tenants that have sent nothing for a minute are not listed. With --shares: how the queried daemon divides the capacity of services between tenants; ask the dispatcher of the service.\n\nExample: tuliphall tenants --shares", &tenantsCommand{global: g}},
		{"hash-key", "Print the hash of a tenant's key", "Reads the key from the standard input. Files declare hashes: keys themselves are written nowhere.\n\nExample: tuliphall hash-key < key.txt", &hashKeyCommand{global: g}},
		{"version", "Print the version", "", &versionCommand{global: g}},
		{"completion", "Print a completion script for bash", "Example: source <(tuliphall completion)", &completionCommand{global: g}},
	}
}
