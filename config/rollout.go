package config

import (
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/objectstore"
)

// Rollout moves the requests of a service to back ends of another version, and holds the progress
// of the move. New and old back ends run side by side until the rollout ends.
type Rollout struct {
	// Service is the name of the service, and of the rollout.
	Service string `toml:"service" json:"service"`
	// Version is the version of the back ends that are to serve the requests.
	Version string `toml:"version" json:"version"`
	// Within is the time from the order until the rollout must be decided.
	Within Duration `toml:"within" json:"within"`

	// Phase is written by the dispatcher of the service; empty: not started.
	Phase RolloutPhase `toml:"-" json:"phase,omitempty"`
	// DecideBy is the deadline of the decision in Unix milliseconds, computed by the first daemon
	// that learned of the rollout; 0: not computed yet.
	DecideBy int64 `toml:"-" json:"decide_by,omitempty"`
	// Reason tells operators why the rollout is in its phase.
	Reason string `toml:"-" json:"reason,omitempty"`
	// Recorded is the version of the record in the platform's store; 0: there is no record.
	Recorded objectstore.Version `toml:"-" json:"recorded,omitempty"`
}

// RolloutPhase is the progress of a rollout. A rollout only moves from one phase to a later one.
type RolloutPhase string

// The phases of a rollout.
const (
	// RolloutRunning: the canary version gets a small share of the requests and is compared with the old one.
	RolloutRunning RolloutPhase = "running"
	// RolloutMoving: the comparison succeeded. All new requests go to the new version, and those in flight
	// at old back ends finish.
	RolloutMoving RolloutPhase = "moving"
	// RolloutCompleted: no requests are in flight at old back ends.
	RolloutCompleted RolloutPhase = "completed"
	// RolloutRolledBack: the new version gets no requests.
	RolloutRolledBack RolloutPhase = "rolled-back"
)

// Decided reports whether the rollout has ended.
func (p RolloutPhase) Decided() bool {
	return p == RolloutCompleted || p == RolloutRolledBack
}

// phaseOrder lists the phases from the earliest to the latest.
var phaseOrder = []RolloutPhase{"", RolloutRunning, RolloutMoving, RolloutCompleted, RolloutRolledBack}

// Before reports whether another phase is later. RolloutCompleted and RolloutRolledBack are both final: neither is before
// the other.
func (p RolloutPhase) Before(other RolloutPhase) bool {
	return !p.Decided() && slices.Index(phaseOrder, p) < slices.Index(phaseOrder, other)
}

// DecisionDeadline returns when the rollout must be decided; zero: not computed yet.
func (r Rollout) DecisionDeadline() time.Time {
	if r.DecideBy == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.DecideBy)
}

// SameOrder reports whether two rollouts are equal apart from their progress.
func (r Rollout) SameOrder(other Rollout) bool {
	return r.Service == other.Service && r.Version == other.Version && r.Within == other.Within
}

// Rollouts holds the rollouts that operators have ordered on the platform, in addition to those
// declared as Rollout objects. Like the Directory, it has its own revision.
type Rollouts struct {
	Revision objectstore.Version `json:"revision"`
	Orders   []Rollout           `json:"orders,omitempty"` // by service
}

// RolloutsByService returns the declared rollouts and those ordered on the platform, which take
// precedence, by service.
func (d Document) RolloutsByService() map[string]Rollout {
	rollouts := make(map[string]Rollout)
	for _, order := range d.Content.Rollouts {
		rollouts[order.Service] = order
	}
	for _, order := range d.Rollouts.Orders {
		rollouts[order.Service] = order
	}
	return rollouts
}

// MaxRolloutDuration is the longest time within which a rollout must be decided.
const MaxRolloutDuration = Duration(24 * time.Hour)

func (v *validator) rollouts(declared []Rollout, services map[string]Service) {
	seen := make(map[string]bool, len(declared))
	for _, rollout := range declared {
		object := ObjectKey{Kind: KindRollout, Name: rollout.Service}
		_, known := services[rollout.Service]
		v.check(known, object, "service", rollout.Service, "the name of a declared service")
		v.check(!seen[rollout.Service], object, "service", rollout.Service, "one rollout for each service")
		seen[rollout.Service] = true
		v.check(rollout.Version != "", object, "version", rollout.Version, "the version of some back ends")
		v.check(rollout.Within >= Duration(time.Second) && rollout.Within <= MaxRolloutDuration, object, "within", time.Duration(rollout.Within), "1s to 24h, with a unit")
	}
}
