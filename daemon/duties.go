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

// Timing of the daemon's own duties.
const (
	// machineInterval is how often the machine list is read, by watchers only.
	machineInterval = 5 * time.Second
	machineDuty     = "read/machines"
	// statusParallel is how many daemons a status asks at once.
	statusParallel = 32
)

// seeds returns peer addresses of other daemons: those in the settings and those
// on the machine list.
func (d *Daemon) seeds(ctx context.Context) []string {
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

// otherSeeds are the seeds but for this daemon itself.
func (d *Daemon) otherSeeds(ctx context.Context) []string {
	return slices.DeleteFunc(d.seeds(ctx), func(one string) bool { return one == d.listeners.Peer })
}

// watchMachines reads the machine list while this daemon is chosen to, and tells
// of back ends that leave.
func (d *Daemon) watchMachines(ctx context.Context) {
	ticker := time.NewTicker(machineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !d.node.IsChosen(machineDuty, 1) {
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
	leaving := make(map[string]bool, len(machines))
	for _, machine := range machines {
		if machine.Role == objectstore.RoleBackend {
			leaving[machine.Address] = machine.State == objectstore.MachineLeaving
		}
	}
	for name, running := range d.services.All() {
		for _, one := range running.Target().Backends {
			// A back end that is not on the list is not known to leave.
			key := drain.SignalKey{Key: backend.Key{Service: name, Backend: one.ID}, Source: drain.FromMachineList}
			d.drains.Observe(drain.Signal{SignalKey: key, Draining: leaving[one.Address], Started: one.Started, Sent: time.Now()})
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

// Ready implements admin.Backend.
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

// Apply implements admin.Backend.
func (d *Daemon) Apply(ctx context.Context, edit config.Edit) (config.Document, error) {
	document, err := d.editor.Apply(ctx, edit)
	if err != nil {
		return config.Document{}, err
	}
	return document, d.follower.Offer(document, "operator")
}

// Plan implements admin.Backend.
func (d *Daemon) Plan(ctx context.Context, edit config.Edit) (config.Document, error) {
	current, _, err := config.Load(ctx, d.store)
	if err != nil {
		return config.Document{}, err
	}
	return d.editor.Plan(current, edit)
}

// Document implements admin.Backend.
func (d *Daemon) Document() config.Document {
	return d.follower.Document()
}

// evacuated returns the zones whose back ends get no new requests from this daemon.
func (d *Daemon) evacuated() []string {
	if snapshot := d.services.Snapshot(); snapshot != nil {
		return snapshot.Document.EvacuatedZones()
	}
	return nil
}

// Status implements admin.Backend. It asks every member which revision it has in
// force; the platform is not asked.
func (d *Daemon) Status(ctx context.Context) admin.Status {
	status := admin.Status{
		Daemon: d.settings.Name, Version: Version, Head: d.follower.HighestRevision(), Stored: d.follower.Position().StoreVersion.String(), Era: d.store.Era(), Uptime: time.Since(d.started), Watching: d.follower.Watching(),
		Evacuated: d.evacuated(), Quarantined: d.quarantine.QuarantinedCount(), Limited: d.limits.LimitedCount(),
		Draining: d.drains.DrainingCount(), Paused: d.pauses.PauseCount(),
	}
	var waiting sync.WaitGroup
	members := d.node.Members()
	rows := make([]admin.Member, len(members))
	slots := make(chan struct{}, statusParallel)
	for index, member := range members {
		waiting.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			rows[index] = d.memberStatus(ctx, member)
		})
	}
	waiting.Wait()
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

// Services implements admin.Backend.
func (d *Daemon) Services() []admin.ServiceStatus {
	var rows []admin.ServiceStatus
	for name, running := range d.services.All() {
		backends, waiting := running.Dispatcher.Status()
		running.AddSignals(backends)
		dispatcher, other := d.node.DispatcherOf(name)
		if !other {
			dispatcher.Name = d.settings.Name
		}
		rows = append(rows, admin.ServiceStatus{Name: name, Dispatcher: dispatcher.Name, Waiting: waiting, Backends: backends})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}

// AliveCount returns how many daemons this one takes for alive, itself
// included.
func (d *Daemon) AliveCount() int {
	return len(d.node.View().Serving)
}

// Region returns the daemon's region.
func (d *Daemon) Region() string {
	return d.settings.Region
}

// IsAlive says whether this daemon takes another one for alive.
func (d *Daemon) IsAlive(name string) bool {
	for _, member := range d.node.View().Serving {
		if member.Name == name {
			return true
		}
	}
	return false
}
