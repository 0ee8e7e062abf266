package config

import (
	"fmt"
	"slices"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/policy"
)

// Deviation says that an object of an accepted configuration is not in force, or not as it was declared.
type Deviation struct {
	Object ObjectKey `json:"object"`
	Reason string    `json:"reason"`
}

// Bounds on the text of deviations, as values of objects may be of any length.
const (
	maxReasonBytes = 200
	maxNameBytes   = 100
)

// NewDeviation returns a deviation whose name and reason are shortened if they are long, and free of control characters.
func NewDeviation(object ObjectKey, reason string) Deviation {
	return Deviation{Object: ObjectKey{Kind: object.Kind, Name: logging.Excerpt(object.Name, maxNameBytes)}, Reason: logging.Excerpt(reason, maxReasonBytes)}
}

// String returns the object and the reason.
func (d Deviation) String() string {
	return fmt.Sprintf("%s: %s", d.Object, d.Reason)
}

// usable returns the content without the objects that cannot be put in force, and the compiled policies. A deviation is
// added for each object left out. Objects that refer to one left out are left out too.
func (c Content) usable() (Content, map[string]*policy.Program, error) {
	c.Deviations = slices.Clip(c.Deviations)
	for {
		v := &validator{accepted: true}
		programs := v.content(c)
		if len(v.errs) == 0 {
			return c, programs, nil
		}
		if c.leaveOutRepeated() || c.leaveOut(v.errs) {
			continue
		}
		return Content{}, nil, errors.Annotate(v.errs[0], "no object can be left out")
	}
}

// leaveOutRepeated leaves out the objects that have the name of an earlier one, and reports whether there are any.
func (c *Content) leaveOutRepeated() bool {
	seen := make(map[ObjectKey]bool)
	return c.leaveOutIf(func(key ObjectKey) bool {
		repeated := seen[key]
		seen[key] = true
		if repeated {
			c.Deviations = append(c.Deviations, NewDeviation(key, "left out: an earlier one has the same name"))
		}
		return repeated
	})
}

// leaveOut leaves out the objects that are not valid, with the first reason for each, and reports whether there are any.
func (c *Content) leaveOut(invalid []*ObjectError) bool {
	known := make(map[ObjectKey]bool, len(invalid))
	for _, err := range invalid {
		if !known[err.Object] {
			known[err.Object] = true
			c.Deviations = append(c.Deviations, NewDeviation(err.Object, "left out: "+err.reason()))
		}
	}
	return c.leaveOutIf(func(key ObjectKey) bool { return known[key] })
}

// leaveOutIf leaves out the objects for which the function returns true. It calls it once for each object, in order, and
// reports whether any is left out.
func (c *Content) leaveOutIf(leaveOut func(ObjectKey) bool) bool {
	leftOut := 0
	c.Policies = without(c.Policies, &leftOut, func(p Policy) bool { return leaveOut(ObjectKey{Kind: KindPolicy, Name: p.Name}) })
	c.Services = without(c.Services, &leftOut, func(s Service) bool { return leaveOut(ObjectKey{Kind: KindService, Name: s.Name}) })
	c.Routes = without(c.Routes, &leftOut, func(r Route) bool { return leaveOut(ObjectKey{Kind: KindRoute, Name: r.Name}) })
	c.Placements = without(c.Placements, &leftOut, func(p Placement) bool { return leaveOut(ObjectKey{Kind: KindPlacement, Name: p.Service}) })
	c.Zones = without(c.Zones, &leftOut, func(z Zone) bool { return leaveOut(ObjectKey{Kind: KindZone, Name: z.Name}) })
	c.Tenants = without(c.Tenants, &leftOut, func(t Tenant) bool { return leaveOut(ObjectKey{Kind: KindTenant, Name: t.Name}) })
	c.Rollouts = without(c.Rollouts, &leftOut, func(r Rollout) bool { return leaveOut(ObjectKey{Kind: KindRollout, Name: r.Service}) })
	if c.Limits != nil && leaveOut(limitsKey) {
		c.Limits = nil
		leftOut++
	}
	return leftOut > 0
}

// without returns a copy of the objects without those for which the function returns true, and counts these.
func without[T any](objects []T, leftOut *int, leaveOut func(T) bool) []T {
	kept := slices.DeleteFunc(slices.Clone(objects), leaveOut)
	*leftOut += len(objects) - len(kept)
	return kept
}
