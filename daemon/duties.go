package daemon

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/admin"
	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/drain"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/objectstore"
)

const (
	// machineInterval is how often the chosen daemon reads the machine list.
	machineInterval   = 5 * time.Second
	machineWatcherKey = "read/machines"
	// maxParallelStatus bounds how many daemons are queried at once for a status.
	maxParallelStatus = 32
)

// seedAddresses returns the peer addresses in the settings and those of other daemons on
// the machine list.
func (d *Daemon) seedAddresses(ctx context.Context) []string {
	addresses := append([]string(nil), d.reloaded.Load().Peers...)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Platform.Timeout))
	defer cancel()
	machines, err := d.machines.Machines(ctx)
	if err != nil {
		d.log.Warn("machine list not read", "error", err)
	}
	for _, machine := range machines {
		if machine.Role == objectstore.RoleEntry && machine.Address != d.listeners.Peer {
			addresses = append(addresses, machine.Address)
		}
	}
	return addresses
}

// peerSeedAddresses returns the seed addresses except that of this daemon.
func (d *Daemon) peerSeedAddresses(ctx context.Context) []string {
	return slices.DeleteFunc(d.seedAddresses(ctx), func(address string) bool { return address == d.listeners.Peer })
}

// watchMachines reads the machine list while this daemon is chosen to do so, and
// records which back ends are draining.
func (d *Daemon) watchMachines(ctx context.Context) {
	ticker := time.NewTicker(machineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !d.node.IsChosen(machineWatcherKey, 1) {
			continue
		}
		d.readMachines(ctx)
	}
}

func (d *Daemon) readMachines(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Platform.Timeout))
	defer cancel()
	machines, err := d.machines.Machines(ctx)
	if err != nil {
		d.log.Warn("machine list not read", "error", err)
		return
	}
	draining := make(map[string]bool, len(machines))
	for _, machine := range machines {
		if machine.Role == objectstore.RoleBackend {
			draining[machine.Address] = machine.State == objectstore.MachineLeaving
		}
	}
	for name, running := range d.services.All() {
		for _, declared := range running.Target().Backends {
			// A back end that is not on the list counts as not draining.
			key := drain.SignalKey{Key: backend.Key{Service: name, Backend: declared.ID}, Source: drain.FromMachineList}
			d.drains.Observe(drain.Signal{SignalKey: key, Draining: draining[declared.Address], Started: declared.Started, Sent: time.Now()})
		}
	}
}

// DispatcherOf implements frontend.Peers.
func (d *Daemon) DispatcherOf(name string) (membership.Member, bool) {
	return d.node.DispatcherOf(name)
}

// Daemons implements frontend.Peers.
func (d *Daemon) Daemons() int {
	return d.AliveCount()
}

// Suspect implements frontend.Peers.
func (d *Daemon) Suspect(name string) {
	d.node.Suspect(name)
}

// Ready implements admin.Daemon.
func (d *Daemon) Ready() error {
	if d.stopping.Load() {
		return errors.New("stopping")
	}
	select {
	case <-d.follower.Configured():
		return nil
	default:
		return errors.New("no configuration yet")
	}
}

// Apply implements admin.Daemon.
func (d *Daemon) Apply(ctx context.Context, edit config.Edit) (config.Document, error) {
	if err := d.checkDeclaredHere(); err != nil {
		return config.Document{}, err
	}
	document, err := d.editor.Apply(ctx, edit)
	if err != nil {
		return config.Document{}, err
	}
	return document, d.follower.Offer(document, "operator")
}

// checkDeclaredHere returns an error if operators do not declare the configuration to the daemons: a change would be in force
// beside the one that they declare elsewhere.
func (d *Daemon) checkDeclaredHere() error {
	if d.headRestore == nil {
		return errors.NewNotSupported(nil, "the configuration is declared in the platform's store, not to the daemons")
	}
	return nil
}

// Plan implements admin.Daemon.
func (d *Daemon) Plan(ctx context.Context, edit config.Edit) (config.Document, error) {
	if err := d.checkDeclaredHere(); err != nil {
		return config.Document{}, err
	}
	current, _, err := config.Load(ctx, d.store)
	if err != nil {
		return config.Document{}, err
	}
	return d.editor.Plan(current, edit)
}

// Document implements admin.Daemon.
func (d *Daemon) Document() config.Document {
	return d.follower.Document()
}

// evacuatedZones returns the zones to whose back ends this daemon sends no new requests.
func (d *Daemon) evacuatedZones() []string {
	if snapshot := d.services.Snapshot(); snapshot != nil {
		return snapshot.Document.EvacuatedZones()
	}
	return nil
}

// deviations returns the objects that are not in force, or not as they were declared.
func (d *Daemon) deviations() []config.Deviation {
	if snapshot := d.services.Snapshot(); snapshot != nil {
		return snapshot.Deviations
	}
	return nil
}

// Status implements admin.Daemon. It asks every member for the revision it has in
// force; it does not query the platform.
func (d *Daemon) Status(ctx context.Context) admin.Status {
	status := admin.Status{
		Daemon: d.settings.Name, Version: Version, Head: d.follower.HighestRevision(), Stored: d.follower.Position().StoreVersion.String(), Era: d.store.Era(), Uptime: time.Since(d.started), Watching: d.follower.Watching(),
		Evacuated: d.evacuatedZones(), Quarantined: d.quarantine.QuarantinedCount(), Limited: d.limits.LimitedCount(),
		Draining: d.drains.DrainingCount(), Paused: d.pauses.PauseCount(), Deviations: d.deviations(),
	}
	if since := d.reach.CutOffSince(); !since.IsZero() {
		status.CutOff = time.Since(since)
	}
	var group sync.WaitGroup
	members := d.node.Members()
	rows := make([]admin.Member, len(members))
	semaphore := make(chan struct{}, maxParallelStatus)
	for index, member := range members {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			rows[index] = d.memberStatus(ctx, member)
		})
	}
	group.Wait()
	status.Members = rows
	for _, row := range rows {
		status.Head = max(status.Head, row.Revision)
	}
	sort.Slice(status.Members, func(i, j int) bool { return status.Members[i].Name < status.Members[j].Name })
	return status
}

func (d *Daemon) memberStatus(ctx context.Context, member membership.Member) admin.Member {
	row := admin.Member{Name: member.Name, Region: member.Region, Zone: member.Zone, State: member.Status.String()}
	if member.Name == d.settings.Name {
		row.Revision = d.follower.Revision()
		return row
	}
	if !member.Serving() {
		return row
	}
	revision, err := d.node.RevisionAt(ctx, member.PeerAddress)
	if err != nil {
		row.Problem = err.Error()
		return row
	}
	row.Revision = revision
	return row
}

// Services implements admin.Daemon.
func (d *Daemon) Services() []admin.ServiceStatus {
	var rows []admin.ServiceStatus
	for name, running := range d.services.All() {
		backends, queued := running.Dispatcher.Status()
		running.AddSignals(backends)
		dispatcher, remote := d.node.DispatcherOf(name)
		if !remote {
			dispatcher.Name = d.settings.Name
		}
		rows = append(rows, admin.ServiceStatus{Name: name, Dispatcher: dispatcher.Name, Waiting: queued, Backends: backends})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}

// AliveCount returns the number of daemons that are alive as far as this one
// knows, including itself.
func (d *Daemon) AliveCount() int {
	return len(d.node.View().Serving)
}

// Region returns the daemon's region.
func (d *Daemon) Region() string {
	return d.settings.Region
}

// IsAlive reports whether another daemon is alive as far as this one knows.
func (d *Daemon) IsAlive(name string) bool {
	for _, member := range d.node.View().Serving {
		if member.Name == name {
			return true
		}
	}
	return false
}
