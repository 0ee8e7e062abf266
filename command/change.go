package command

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/admin"
	"github.com/tuliphall/tuliphall/config"
)

// fileOptions are the options of commands that read objects from files.
type fileOptions struct {
	Files []string `short:"f" long:"file" required:"true" value-name:"FILE" description:"TOML file with objects; may be given several times"`
}

// read returns the objects of all files.
func (o *fileOptions) read() (config.Content, error) {
	var all config.Content
	for _, path := range o.Files {
		text, err := os.ReadFile(path)
		if err != nil {
			return config.Content{}, &exitError{code: ExitUsage, cause: err}
		}
		content, err := config.DecodeTOML(path, text)
		if err != nil {
			return config.Content{}, &exitError{code: ExitUsage, cause: err}
		}
		if err := checkPolicies(path, text, content); err != nil {
			return config.Content{}, &exitError{code: ExitUsage, cause: err}
		}
		if all.Limits != nil && content.Limits != nil {
			return config.Content{}, &exitError{code: ExitUsage, cause: errors.NotValidf("%s: limits: allowed: in one file only; another file has them too; these", path)}
		}
		all = all.Concat(content)
	}
	return all, nil
}

// checkPolicies validates the policies of a file separately, so that an error names the line.
func checkPolicies(path string, text []byte, content config.Content) error {
	return errors.Trace(config.AnnotateLine(path, text, config.Content{Policies: content.Policies}.Validate()))
}

type applyCommand struct {
	global *globalOptions
	changeOptions
	fileOptions
	Base config.Revision `long:"base" description:"revision the change was made from; objects that others changed since are a conflict"`
	Wait bool            `long:"wait" description:"return when the revision is in force at all daemons"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	content, err := c.read()
	if err != nil {
		return err
	}
	edit := c.edit("apply " + strings.Join(c.Files, " "))
	edit.Set, edit.Base = content, c.Base
	return c.global.change(edit, c.DryRun, c.Wait)
}

// change applies the edit, prints the changes and waits until they are in force if wait is set.
func (g *globalOptions) change(edit config.Edit, dryRun, wait bool) error {
	ctx, cancel := g.context()
	defer cancel()
	response, err := g.applyWithRetry(ctx, admin.ApplyRequest{Edit: edit, DryRun: dryRun})
	if err != nil {
		return errors.Annotatef(err, "change %s", edit.ID)
	}
	if err := g.printChange(response, dryRun); err != nil {
		return err
	}
	if !wait || dryRun {
		return nil
	}
	return g.waitFor(ctx, response.Revision)
}

// maxApplyAttempts is the maximum number of attempts to apply a change whose response is lost.
const maxApplyAttempts = 4

// applyWithRetry repeats the request if its response is lost. The id of the change prevents
// applying it twice.
func (g *globalOptions) applyWithRetry(ctx context.Context, request admin.ApplyRequest) (admin.ApplyResponse, error) {
	var response admin.ApplyResponse
	var err error
	for range maxApplyAttempts {
		response, err = g.client().Apply(ctx, request)
		var callError *admin.CallError
		if err == nil || errors.As(err, &callError) {
			return response, err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return response, err
		}
	}
	return response, err
}

func (g *globalOptions) printChange(response admin.ApplyResponse, dryRun bool) error {
	if g.Output == outputJSON {
		return g.printJSON(response)
	}
	note := ""
	if dryRun {
		note = " (dry run, nothing changed)"
	}
	if _, err := fmt.Fprintf(g.out, "revision %d%s\n", response.Revision, note); err != nil {
		return err
	}
	return g.printDifferences(response.Changed)
}

type validateCommand struct {
	global *globalOptions
	fileOptions
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	content, err := c.read()
	if err != nil {
		return err
	}
	if err := content.Validate(); err != nil {
		return &exitError{code: ExitUsage, cause: err}
	}
	_, err = fmt.Fprintf(c.global.out, "valid: %d services, %d routes, %d placements, %d policies, %d zones, %d tenants, %d rollouts, %d limits\n", len(content.Services), len(content.Routes), len(content.Placements), len(content.Policies), len(content.Zones), len(content.Tenants), len(content.Rollouts), len(limitsList(content.Limits)))
	return err
}

type diffCommand struct {
	global *globalOptions
	fileOptions
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	content, err := c.read()
	if err != nil {
		return err
	}
	ctx, cancel := c.global.context()
	defer cancel()
	current, err := c.global.client().Document(ctx)
	if err != nil {
		return err
	}
	next, err := current.Content.Merge(content, nil)
	if err != nil {
		return err
	}
	changes, err := config.Diff(current.Content, next)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return nil
	}
	if err := c.global.printDifferences(changes); err != nil {
		return err
	}
	return errDifferences
}

type deleteCommand struct {
	global *globalOptions
	changeOptions
	Arguments struct {
		Kind  config.Kind `positional-arg-name:"KIND" required:"yes"`
		Names []string    `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute([]string) error {
	edit := c.edit(fmt.Sprintf("delete %s %s", c.Arguments.Kind, strings.Join(c.Arguments.Names, " ")))
	for _, name := range c.Arguments.Names {
		edit.Deleted = append(edit.Deleted, config.ObjectKey{Kind: c.Arguments.Kind, Name: name})
	}
	return c.global.change(edit, c.DryRun, false)
}

type rollbackCommand struct {
	global *globalOptions
	changeOptions
	Wait      bool `long:"wait" description:"return when the revision is in force at all daemons"`
	Arguments struct {
		Revision string `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *rollbackCommand) Execute([]string) error {
	revision, err := parseRevision(c.Arguments.Revision)
	if err != nil {
		return err
	}
	edit := c.edit("rollback to revision " + c.Arguments.Revision)
	edit.RollbackTo = revision
	return c.global.change(edit, c.DryRun, c.Wait)
}

func parseRevision(text string) (config.Revision, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, &exitError{code: ExitUsage, cause: errors.NotValidf("REVISION %q: allowed: a number above 0; it", text)}
	}
	return config.Revision(number), nil
}

type drainCommand struct {
	global *globalOptions
	changeOptions
	drained   bool
	Wait      bool `long:"wait" description:"return when the drain is in force at all daemons"`
	Arguments struct {
		Service  string   `positional-arg-name:"SERVICE" required:"yes"`
		Backends []string `positional-arg-name:"BACKEND" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	ctx, cancel := c.global.context()
	defer cancel()
	document, err := c.global.client().Document(ctx)
	if err != nil {
		return err
	}
	placement, err := findPlacement(document.Content, c.Arguments.Service)
	if err != nil {
		return err
	}
	for _, id := range c.Arguments.Backends {
		if err := setDrained(&placement, id, c.drained); err != nil {
			return err
		}
	}
	action := "drain"
	if !c.drained {
		action = "undrain"
	}
	edit := c.edit(fmt.Sprintf("%s %s %s", action, c.Arguments.Service, strings.Join(c.Arguments.Backends, " ")))
	edit.Base = document.Revision
	edit.Set = config.Content{Placements: []config.Placement{placement}}
	return c.global.change(edit, c.DryRun, c.Wait)
}

func findPlacement(content config.Content, service string) (config.Placement, error) {
	for _, placement := range content.Placements {
		if placement.Service == service {
			placement.Backends = append([]config.Backend(nil), placement.Backends...)
			return placement, nil
		}
	}
	return config.Placement{}, &exitError{code: ExitNotFound, cause: errors.NotFoundf("placement/%s", service)}
}

func setDrained(placement *config.Placement, id string, drained bool) error {
	for index := range placement.Backends {
		if placement.Backends[index].ID == id {
			placement.Backends[index].Drained = drained
			return nil
		}
	}
	return &exitError{code: ExitNotFound, cause: errors.NotFoundf("back end %s of placement/%s", id, placement.Service)}
}
