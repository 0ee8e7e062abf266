package command

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/admin"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/daemon"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/drain"
	"github.com/tuliphall/tuliphall/routing"
)

// pollInterval is the time between two status requests, or two attempts to apply a change.
const pollInterval = 200 * time.Millisecond

func (g *globalOptions) printJSON(value any) error {
	encoder := json.NewEncoder(g.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable prints rows of cells in aligned columns.
func (g *globalOptions) printTable(rows [][]string) error {
	writer := tabwriter.NewWriter(g.out, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

func (g *globalOptions) printDifferences(changes []config.ObjectChange) error {
	for _, change := range changes {
		sign := "~"
		switch {
		case change.Before == nil:
			sign = "+"
		case change.After == nil:
			sign = "-"
		}
		if _, err := fmt.Fprintf(g.out, "%s %s\n", sign, change.Key); err != nil {
			return err
		}
		for _, side := range []struct {
			sign string
			data json.RawMessage
		}{{"-", change.Before}, {"+", change.After}} {
			if side.data == nil {
				continue
			}
			if _, err := fmt.Fprintf(g.out, "    %s %s\n", side.sign, side.data); err != nil {
				return err
			}
		}
	}
	return nil
}

type getCommand struct {
	global    *globalOptions
	Arguments struct {
		Kind config.Kind `positional-arg-name:"KIND" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	ctx, cancel := c.global.context()
	defer cancel()
	document, err := c.global.client().Document(ctx)
	if err != nil {
		return err
	}
	content := document.Content
	switch c.Arguments.Kind {
	case config.KindService:
		rows := [][]string{{"NAME", "HOSTS", "PATH", "POLICY", "DEADLINE"}}
		for _, s := range content.Services {
			rows = append(rows, []string{s.Name, strings.Join(s.Hosts, ","), s.PathPrefix, s.Policy, time.Duration(s.Deadline).String()})
		}
		return c.global.print(content.Services, rows)
	case config.KindRoute:
		rows := [][]string{{"NAME", "HOSTS", "PATH", "SHARES", "POLICY", "TIMEOUT"}}
		for _, r := range content.Routes {
			rows = append(rows, []string{r.Name, strings.Join(r.Hosts, ","), r.PathPrefix, sharesText(r.Shares), r.Policy, time.Duration(r.Timeout).String()})
		}
		return c.global.print(content.Routes, rows)
	case config.KindPlacement:
		rows := [][]string{{"SERVICE", "BACKEND", "ADDRESS", "ZONE", "DRAINED"}}
		for _, p := range content.Placements {
			for _, b := range p.Backends {
				rows = append(rows, []string{p.Service, b.ID, b.Address, b.Zone, fmt.Sprint(b.Drained)})
			}
		}
		return c.global.print(content.Placements, rows)
	case config.KindPolicy:
		rows := [][]string{{"NAME", "CLASS", "WEIGHT", "RETRY", "ONCE"}}
		for _, p := range content.Policies {
			rows = append(rows, []string{p.Name, p.Class, p.Weight, p.Retry, p.Once})
		}
		return c.global.print(content.Policies, rows)
	case config.KindZone:
		rows := [][]string{{"NAME", "EVACUATED"}}
		for _, zone := range content.Zones {
			rows = append(rows, []string{zone.Name, fmt.Sprint(zone.Evacuated)})
		}
		return c.global.print(content.Zones, rows)
	case config.KindTenant:
		rows := [][]string{{"NAME", "KEYS", "RATE", "BURST", "WEIGHT", "SHARE"}}
		for _, tenant := range content.Tenants {
			rows = append(rows, []string{tenant.Name, fmt.Sprint(len(tenant.Keys)), fmt.Sprint(tenant.Rate), fmt.Sprint(tenant.Burst), fmt.Sprint(tenant.Weight), fmt.Sprint(tenant.Share)})
		}
		return c.global.print(content.Tenants, rows)
	case config.KindRollout:
		return c.global.printRollouts(content.Rollouts)
	case config.KindLimits:
		return c.global.printLimits(content.Limits)
	}
	return &exitError{code: ExitUsage, cause: errors.NotValidf("KIND %q: allowed: service, route, placement, policy, zone, tenant, rollout, limits; it", c.Arguments.Kind)}
}

// sharesText formats shares as SERVICE:WEIGHT, separated by commas.
func sharesText(shares []config.Share) string {
	parts := make([]string, 0, len(shares))
	for _, share := range shares {
		parts = append(parts, fmt.Sprintf("%s:%g", share.Service, share.Weight))
	}
	return strings.Join(parts, ",")
}

func (g *globalOptions) print(value any, rows [][]string) error {
	if g.Output == outputJSON {
		return g.printJSON(value)
	}
	return g.printTable(rows)
}

type describeCommand struct {
	global    *globalOptions
	Arguments struct {
		Kind config.Kind `positional-arg-name:"KIND" required:"yes"`
		Name string      `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *describeCommand) Execute([]string) error {
	ctx, cancel := c.global.context()
	defer cancel()
	document, err := c.global.client().Document(ctx)
	if err != nil {
		return err
	}
	found, err := findObject(document.Content, config.ObjectKey{Kind: c.Arguments.Kind, Name: c.Arguments.Name})
	if err != nil {
		return err
	}
	if err := c.global.printJSON(found); err != nil {
		return err
	}
	if c.Arguments.Kind != config.KindService {
		return nil
	}
	return c.describeState(ctx)
}

// describeState prints the state of the service's back ends as the called daemon knows it.
func (c *describeCommand) describeState(ctx context.Context) error {
	services, err := c.global.client().Services(ctx)
	if err != nil {
		return err
	}
	for _, s := range services {
		if s.Name != c.Arguments.Name {
			continue
		}
		if c.global.Output == outputJSON {
			return c.global.printJSON(s)
		}
		rows := [][]string{{"dispatched by " + s.Dispatcher, fmt.Sprintf("waiting %d", s.Waiting)}, {"BACKEND", "ZONE", "SLOTS", "IN-FLIGHT", "BEST", "DRAINING", "EVACUATED", "COLD", "EJECTED", "LATENCY", "LIMIT", "SAYS"}}
		for _, b := range s.Backends {
			rows = append(rows, []string{b.ID, b.Zone, fmt.Sprint(b.Slots), fmt.Sprint(b.InFlight), fmt.Sprint(b.BestInFlight), fmt.Sprint(b.Draining), fmt.Sprint(b.Evacuated), fmt.Sprint(b.Cold), fmt.Sprint(b.Ejected), b.Latency.Round(time.Microsecond).String(), describeLimit(b.Limit), describeSignals(b)})
		}
		return c.global.printTable(rows)
	}
	return nil
}

// describeSignals formats the draining and pause signals of a back end; empty: there are none.
func describeSignals(b dispatch.BackendStatus) string {
	var signals []string
	if draining := b.Leaving; draining != nil {
		by := "as it says itself"
		if draining.Source != drain.FromBackend.String() {
			by = "by the " + draining.Source
		}
		if draining.ReportedByPeer {
			by += ", told by another daemon"
		}
		signals = append(signals, "leaving for "+draining.Since.Round(100*time.Millisecond).String()+", "+by)
	}
	if b.PauseLeft > 0 {
		signals = append(signals, "asked for a pause, "+b.PauseLeft.Round(time.Second).String()+" left")
	}
	return strings.Join(signals, "; ")
}

// describeLimit formats the request limit of a back end; empty: it has none.
func describeLimit(limit *routing.LimitStatus) string {
	if limit == nil {
		return ""
	}
	return fmt.Sprintf("%g/s, %.1f/s used, for %s", limit.PerSecond, limit.Used, limit.Age.Round(100*time.Millisecond))
}

func findObject(content config.Content, key config.ObjectKey) (any, error) {
	switch key.Kind {
	case config.KindService:
		return findByName(content.Services, key, func(o config.Service) string { return o.Name })
	case config.KindRoute:
		return findByName(content.Routes, key, func(o config.Route) string { return o.Name })
	case config.KindPlacement:
		return findByName(content.Placements, key, func(o config.Placement) string { return o.Service })
	case config.KindPolicy:
		return findByName(content.Policies, key, func(o config.Policy) string { return o.Name })
	case config.KindZone:
		return findByName(content.Zones, key, func(o config.Zone) string { return o.Name })
	case config.KindRollout:
		return findByName(content.Rollouts, key, func(o config.Rollout) string { return o.Service })
	case config.KindTenant:
		return findByName(content.Tenants, key, func(o config.Tenant) string { return o.Name })
	case config.KindLimits:
		return findByName(limitsList(content.Limits), key, func(config.RequestLimits) string { return config.LimitsName })
	}
	return nil, notFound(key)
}

// findByName returns the object with the key's name.
func findByName[T any](objects []T, key config.ObjectKey, nameOf func(T) string) (any, error) {
	for _, object := range objects {
		if nameOf(object) == key.Name {
			return object, nil
		}
	}
	return nil, notFound(key)
}

func notFound(key config.ObjectKey) error {
	return &exitError{code: ExitNotFound, cause: errors.NotFoundf("%s", key)}
}

type historyCommand struct {
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	ctx, cancel := c.global.context()
	defer cancel()
	document, err := c.global.client().Document(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{{"REVISION", "AT", "AUTHOR", "OBJECTS", "SUMMARY"}}
	for _, change := range document.History {
		rows = append(rows, []string{fmt.Sprint(change.Revision), change.At.Format(time.RFC3339), change.Author, fmt.Sprint(len(change.Objects)), change.Summary})
	}
	return c.global.print(document.History, rows)
}

type statusCommand struct {
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := c.global.context()
	defer cancel()
	status, err := c.global.client().Status(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{{"DAEMON", "REGION", "ZONE", "STATE", "REVISION", "PROBLEM"}}
	for _, m := range status.Members {
		rows = append(rows, []string{m.Name, m.Region, m.Zone, m.State, fmt.Sprint(m.Revision), m.Problem})
	}
	if status.Era > 0 {
		rows = append(rows, nil, []string{fmt.Sprintf("the store has come back older %d times; the configuration in force was stored at %s (era/revision)", status.Era, status.Stored)})
	}
	for _, deviation := range status.Deviations {
		rows = append(rows, nil, []string{"not in force as declared: " + deviation.String()})
	}
	if len(status.Evacuated) > 0 {
		rows = append(rows, nil, []string{"evacuated zones: " + strings.Join(status.Evacuated, " ")})
	}
	if status.Quarantined > 0 {
		rows = append(rows, nil, []string{fmt.Sprintf("requests held back, as back ends ended under them: %d (tuliphall quarantined)", status.Quarantined)})
	}
	if status.CutOff > 0 {
		rows = append(rows, nil, []string{fmt.Sprintf("this daemon has reached no back end for %s; it sends requests through other daemons", status.CutOff.Round(time.Millisecond))})
	}
	if status.Draining > 0 {
		rows = append(rows, nil, []string{fmt.Sprintf("back ends that are leaving: %d (tuliphall describe service NAME)", status.Draining)})
	}
	if status.Paused > 0 {
		rows = append(rows, nil, []string{fmt.Sprintf("back ends that asked this daemon for a pause: %d (tuliphall describe service NAME)", status.Paused)})
	}
	if status.Limited > 0 {
		rows = append(rows, nil, []string{fmt.Sprintf("back ends that ask for fewer requests: %d (tuliphall describe service NAME)", status.Limited)})
	}
	return c.global.print(status, rows)
}

type waitCommand struct {
	global    *globalOptions
	Arguments struct {
		Revision string `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *waitCommand) Execute([]string) error {
	revision, err := parseRevision(c.Arguments.Revision)
	if err != nil {
		return err
	}
	ctx, cancel := c.global.context()
	defer cancel()
	return c.global.waitFor(ctx, revision)
}

// waitFor blocks until all live daemons have the revision in force, or ctx is done.
func (g *globalOptions) waitFor(ctx context.Context, revision config.Revision) error {
	begin := time.Now()
	var lagging []string
	for {
		status, err := g.client().Status(ctx)
		if err == nil {
			lagging = laggingDaemons(status, revision)
			if len(lagging) == 0 {
				_, err := fmt.Fprintf(g.out, "revision %d in force at %d daemons after %s\n", revision, countAlive(status), time.Since(begin).Round(time.Millisecond))
				return err
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return &exitError{code: ExitNotInForce, cause: errors.Errorf("revision %d not in force at: %s", revision, strings.Join(lagging, ", "))}
		}
	}
}

func countAlive(status admin.Status) int {
	count := 0
	for _, member := range status.Members {
		if member.State == "alive" {
			count++
		}
	}
	return count
}

// laggingDaemons names the live daemons that have an older revision in force. Suspected daemons
// are included.
func laggingDaemons(status admin.Status, revision config.Revision) []string {
	var names []string
	for _, member := range status.Members {
		if (member.State == "alive" || member.State == "suspect") && member.Revision < revision {
			names = append(names, fmt.Sprintf("%s (revision %d)", member.Name, member.Revision))
		}
	}
	sort.Strings(names)
	return names
}

type versionCommand struct {
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.global.out, "tuliphall", daemon.Version)
	return err
}

type completionCommand struct {
	global *globalOptions
}

// completionScript calls the command itself for completions, which go-flags implements.
const completionScript = `_tuliphall() {
  local words=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${words[@]}"))
}
complete -F _tuliphall tuliphall
`

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	_, err := fmt.Fprint(c.global.out, completionScript)
	return err
}
