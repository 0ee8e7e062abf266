package service

import (
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/drain"
	"github.com/tuliphall/tuliphall/pushback"
	"github.com/tuliphall/tuliphall/routing"
)

// Drains provides the back ends that are draining. It must not block.
type Drains interface {
	// Draining returns the notice by which the run of a back end that started at the given time is draining, and
	// false if there is none.
	Draining(key backend.Key, started int64) (drain.Notice, bool)
}

// noDrains implements Drains without draining back ends.
type noDrains struct{}

// Draining implements Drains.
func (noDrains) Draining(backend.Key, int64) (drain.Notice, bool) { return drain.Notice{}, false }

// Pauses provides the back ends that have asked this daemon for a pause. No method blocks.
type Pauses interface {
	// ActivePause returns the active pause of the run of a back end that started at the given time, and false if
	// there is none.
	ActivePause(key backend.Key, started int64) (pushback.Pause, bool)
	// PausedBackends returns the ids of a service's paused back ends, regardless of their run.
	PausedBackends(service string) []string
}

// noPauses implements Pauses without pauses.
type noPauses struct{}

// ActivePause implements Pauses.
func (noPauses) ActivePause(backend.Key, int64) (pushback.Pause, bool) {
	return pushback.Pause{}, false
}

// PausedBackends implements Pauses.
func (noPauses) PausedBackends(string) []string { return nil }

// Limits provides the request limits of back ends. No method blocks.
type Limits interface {
	// Lookup returns the limit of the run of a back end that started at the given time, and false if
	// that run has not set one.
	Lookup(backend backend.Key, started int64) (backendlimit.Record, bool)
	// Shares returns the shares of the limits that the daemons that this one can reach may use.
	Shares() backendlimit.Shares
}

// noLimits implements Limits without limits.
type noLimits struct{}

// Lookup implements Limits.
func (noLimits) Lookup(backend.Key, int64) (backendlimit.Record, bool) {
	return backendlimit.Record{}, false
}

// Shares implements Limits.
func (noLimits) Shares() backendlimit.Shares { return backendlimit.FullShares }

// IsEligible reports whether a back end is declared, neither drained nor evacuated nor draining, and of a version
// that gets requests.
func (s *Service) IsEligible(id string) bool {
	_, reason := s.eligibility(id)
	return reason == ""
}

// eligibility returns the declaration of a back end, and why it gets no new requests from any daemon; empty: it
// gets them.
func (s *Service) eligibility(id string) (b *config.Backend, reason string) {
	declared := s.declared.Load()
	b, known := declared.byID[id]
	switch {
	case !known:
		return nil, "it is not declared"
	case declared.drainedOrEvacuated(b):
		return b, "it is drained by declaration"
	case s.Dispatcher.ExcludesVersion(b.Version):
		return b, "its version gets no requests"
	}
	if notice, draining := s.drains.Draining(s.keyOf(id), b.Started); draining {
		return b, "it is leaving, known for " + time.Since(notice.Since).Round(time.Millisecond).String()
	}
	return b, ""
}

// IneligibleReason returns why this daemon must not send a new request to a back end, whichever daemon granted the
// permit; empty: it may. The text is part of the response to the caller.
func (s *Service) IneligibleReason(id string) string {
	b, reason := s.eligibility(id)
	if reason != "" {
		return reason
	}
	if pause, paused := s.pauses.ActivePause(s.keyOf(id), b.Started); paused {
		return "it asked for a pause, " + time.Until(pause.Until).Round(time.Millisecond).String() + " of which are left"
	}
	return ""
}

func (s *Service) keyOf(id string) backend.Key {
	return backend.Key{Service: s.Name(), Backend: id}
}

// Exclusions returns the back ends that have asked this daemon for a pause.
func (s *Service) Exclusions() []routing.Exclusion {
	ids := s.pauses.PausedBackends(s.Name())
	if len(ids) == 0 {
		return nil
	}
	declared := s.declared.Load()
	var excluded []routing.Exclusion
	for _, id := range ids {
		if b, known := declared.byID[id]; known {
			if until := s.pausedUntil(b); !until.IsZero() {
				excluded = append(excluded, routing.Exclusion{Backend: id, Until: until})
			}
		}
	}
	return excluded
}

// AddSignals adds the drains and pauses that this daemon knows of to the status of back ends.
func (s *Service) AddSignals(backends []dispatch.BackendStatus) {
	declared, now := s.declared.Load(), time.Now()
	for index := range backends {
		status := &backends[index]
		b, known := declared.byID[status.ID]
		if !known {
			continue
		}
		if notice, draining := s.drains.Draining(s.keyOf(b.ID), b.Started); draining {
			status.Leaving = &dispatch.LeavingStatus{Source: notice.Source.String(), ReportedByPeer: notice.ReportedByPeer, Since: now.Sub(notice.Since)}
		}
		status.PauseLeft = max(s.pausedUntil(b).Sub(now), 0)
	}
}

// pausedUntil returns the end of the pause that a back end has asked this daemon for; zero: there is none.
func (s *Service) pausedUntil(b *config.Backend) time.Time {
	pause, _ := s.pauses.ActivePause(s.keyOf(b.ID), b.Started)
	return pause.Until
}

// RefreshPause applies the pause that a back end has asked this daemon for to the daemon's probes.
func (s *Service) RefreshPause(id string) {
	s.Dispatcher.SetPause(id, func() time.Time {
		if b, known := s.declared.Load().byID[id]; known {
			return s.pausedUntil(b)
		}
		return time.Time{}
	})
}

// limitOf returns the request limit of a back end.
func (s *Service) limitOf(b *config.Backend) backendlimit.Limit {
	record, _ := s.limits.Lookup(s.keyOf(b.ID), b.Started)
	return record.Limit
}

// RefreshLimit applies the current request limit of a back end. The declaration is looked up only as the limit is
// applied, because the back end may have been restarted meanwhile.
func (s *Service) RefreshLimit(id string) {
	s.Dispatcher.SetLimit(id, func() backendlimit.Limit {
		if b, known := s.declared.Load().byID[id]; known {
			return s.limitOf(b)
		}
		return backendlimit.Limit{}
	})
}

// isDraining reports whether the back end itself or the machine list has signalled that it is draining.
func (s *Service) isDraining(b *config.Backend) bool {
	_, draining := s.drains.Draining(s.keyOf(b.ID), b.Started)
	return draining
}

// RefreshDrain applies whether a back end is draining now.
func (s *Service) RefreshDrain(id string) {
	s.Dispatcher.SetDraining(id, func() bool {
		declared := s.declared.Load()
		b, known := declared.byID[id]
		return known && (s.isDraining(b) || declared.drainedOrEvacuated(b))
	})
}
