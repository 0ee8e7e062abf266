package config

import (
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/objectstore"
)

// Rollout asks that the requests of a service move to back ends of another version, and says how
// far that is. The new back ends run beside the old ones until it is decided.
type Rollout struct {
	// Service is the service's name, and the rollout's.
	Service string `toml:"service" json:"service"`
	// Version is that of the back ends that are to serve.
	Version string `toml:"version" json:"version"`
	// Within is how long after the order it is to be decided.
	Within Duration `toml:"within" json:"within"`

	// Phase is written by the daemon that dispatches the service; empty: nobody has begun.
	Phase RolloutPhase `toml:"-" json:"phase,omitempty"`
	// DecideBy is until when it is to be decided, in Unix milliseconds, as the daemon reckoned that
	// first heard of it; 0: none has.
	DecideBy int64 `toml:"-" json:"decide_by,omitempty"`
	// Reason is why it is in its phase, for operators.
	Reason string `toml:"-" json:"reason,omitempty"`
	// Recorded is the version of the record in the platform's store; 0: it is not kept there.
	Recorded objectstore.Version `toml:"-" json:"recorded,omitempty"`
}

// RolloutPhase says how far a rollout is. It only goes on, from one phase to a later one.
type RolloutPhase string

// The phases.
const (
	// RolloutRunning: the new version gets a small share of the requests and is judged by it.
	RolloutRunning RolloutPhase = "running"
	// RolloutMoving: the new version has shown itself good; all requests go there, and those at
	// old back ends end.
	RolloutMoving RolloutPhase = "moving"
	// RolloutCompleted: no request is at an old back end any more.
	RolloutCompleted RolloutPhase = "completed"
	// RolloutRolledBack: the new version gets nothing.
	RolloutRolledBack RolloutPhase = "rolled-back"
)

// Decided says whether the rollout is over.
func (p RolloutPhase) Decided() bool {
	return p == RolloutCompleted || p == RolloutRolledBack
}

// order is how far each phase is.
var rolloutOrder = []RolloutPhase{"", RolloutRunning, RolloutMoving, RolloutCompleted, RolloutRolledBack}

// Before says whether another phase is later. Both ends are the last: neither is before the other.
func (p RolloutPhase) Before(other RolloutPhase) bool {
	return !p.Decided() && slices.Index(rolloutOrder, p) < slices.Index(rolloutOrder, other)
}

// DecisionDeadline returns until when the rollout is to be decided; zero: nobody has reckoned it yet.
func (r Rollout) DecisionDeadline() time.Time {
	if r.DecideBy == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.DecideBy)
}

// SameOrder says whether two say the same but for how far it is.
func (r Rollout) SameOrder(other Rollout) bool {
	return r.Service == other.Service && r.Version == other.Version && r.Within == other.Within
}

// Rollouts are the rollouts that a platform's operators have ordered, beside those that are declared
// as objects of the product's own. They have a revision of their own, as the Directory has.
type Rollouts struct {
	Revision objectstore.Version `json:"revision"`
	Orders   []Rollout           `json:"orders,omitempty"` // by service
}

// RolloutsByService returns the rollouts by service, whoever ordered them.
func (d Document) RolloutsByService() map[string]Rollout {
	orders := make(map[string]Rollout)
	for _, one := range d.Content.Rollouts {
		orders[one.Service] = one
	}
	for _, one := range d.Rollouts.Orders {
		orders[one.Service] = one
	}
	return orders
}

// MaxRolloutDuration is the longest time within which a rollout is to be decided.
const MaxRolloutDuration = Duration(24 * time.Hour)

func (v *validator) rollouts(declared []Rollout, services map[string]Service) {
	named := make(map[string]bool, len(declared))
	for _, one := range declared {
		object := ObjectKey{Kind: KindRollout, Name: one.Service}
		_, known := services[one.Service]
		v.check(known, object, "service", one.Service, "the name of a declared service")
		v.check(!named[one.Service], object, "service", one.Service, "one rollout for each service")
		named[one.Service] = true
		v.check(one.Version != "", object, "version", one.Version, "the version of some back ends")
		v.check(one.Within >= Duration(time.Second) && one.Within <= MaxRolloutDuration, object, "within", time.Duration(one.Within), "1s to 24h, with a unit")
	}
}
