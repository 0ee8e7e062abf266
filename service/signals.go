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

// Drains knows which back ends are leaving. It must not block.
type Drains interface {
	// Leaving returns from which source it is known that the run of a back end that started at a time is leaving, and false where
	// nobody says so.
	Leaving(key backend.Key, started int64) (drain.Notice, bool)
}

// noDrains knows of none.
type noDrains struct{}

// Leaving implements Drains.
func (noDrains) Leaving(backend.Key, int64) (drain.Notice, bool) { return drain.Notice{}, false }

// Pauses knows which back ends have asked this daemon for a pause. No method blocks.
type Pauses interface {
	// ActivePause returns the pause that the run of a back end that started at a time is in, and false where it is in none.
	ActivePause(key backend.Key, started int64) (pushback.Pause, bool)
	// PausedBackends returns the ids of a service's back ends that are in one, whichever their run.
	PausedBackends(service string) []string
}

// noPauses knows of none.
type noPauses struct{}

// ActivePause implements Pauses.
func (noPauses) ActivePause(backend.Key, int64) (pushback.Pause, bool) {
	return pushback.Pause{}, false
}

// PausedBackends implements Pauses.
func (noPauses) PausedBackends(string) []string { return nil }

// Limits knows how many requests back ends take. No method blocks.
type Limits interface {
	// Lookup returns what the run of a back end that started at a time has said, and false where it
	// has said nothing.
	Lookup(backend backend.Key, started int64) (backendlimit.Record, bool)
	// Shares returns which parts of what back ends take daemons may use that this one can reach.
	Shares() backendlimit.Shares
}

// noLimits knows of none.
type noLimits struct{}

// Lookup implements Limits.
func (noLimits) Lookup(backend.Key, int64) (backendlimit.Record, bool) {
	return backendlimit.Record{}, false
}

// Shares implements Limits.
func (noLimits) Shares() backendlimit.Shares { return backendlimit.FullShares }

// IsEligible says whether a back end is declared, is not known to leave, and is of a version that gets requests.
func (s *Service) IsEligible(id string) bool {
	_, why := s.takes(id)
	return why == ""
}

// takes returns the declaration of a back end, and why it gets no new requests from any daemon; empty: it may.
func (s *Service) takes(id string) (one *config.Backend, why string) {
	declared := s.declared.Load()
	one, known := declared.byID[id]
	switch {
	case !known:
		return nil, "it is not declared"
	case declared.closed(one):
		return one, "it is drained by declaration"
	case s.Dispatcher.ExcludesVersion(one.Version):
		return one, "its version gets no requests"
	}
	if notice, leaving := s.drains.Leaving(s.keyOf(id), one.Started); leaving {
		return one, "it is leaving, known for " + time.Since(notice.Since).Round(time.Millisecond).String()
	}
	return one, ""
}

// IneligibleReason says why this daemon must not send a new request to a back end, whoever gave the place; empty: it may.
func (s *Service) IneligibleReason(id string) string {
	one, why := s.takes(id)
	if why != "" {
		return why
	}
	if pause, paused := s.pauses.ActivePause(s.keyOf(id), one.Started); paused {
		return "it asked for a pause, " + time.Until(pause.Until).Round(time.Millisecond).String() + " of which are left"
	}
	return ""
}

// keyOf names a back end of the service.
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
		if one, known := declared.byID[id]; known {
			if until := s.pausedUntil(one); !until.IsZero() {
				excluded = append(excluded, routing.Exclusion{Backend: id, Until: until})
			}
		}
	}
	return excluded
}

// AddSignals adds to the back ends' states what is known here of their leaving and of pauses.
func (s *Service) AddSignals(backends []dispatch.BackendStatus) {
	declared, now := s.declared.Load(), time.Now()
	for index := range backends {
		status := &backends[index]
		one, known := declared.byID[status.ID]
		if !known {
			continue
		}
		if notice, leaving := s.drains.Leaving(s.keyOf(one.ID), one.Started); leaving {
			status.Leaving = &dispatch.LeavingStatus{Source: notice.Source.String(), ReportedByPeer: notice.ReportedByPeer, Since: now.Sub(notice.Since)}
		}
		status.PauseLeft = max(s.pausedUntil(one).Sub(now), 0)
	}
}

// pausedUntil returns until when a back end has asked this daemon for a pause; zero: it has not.
func (s *Service) pausedUntil(one *config.Backend) time.Time {
	pause, _ := s.pauses.ActivePause(s.keyOf(one.ID), one.Started)
	return pause.Until
}

// RefreshPause puts in force for this daemon's probes what a back end has asked it for.
func (s *Service) RefreshPause(id string) {
	s.Dispatcher.SetPause(id, func() time.Time {
		if one, known := s.declared.Load().byID[id]; known {
			return s.pausedUntil(one)
		}
		return time.Time{}
	})
}

// limitOf returns how many requests a back end takes.
func (s *Service) limitOf(one *config.Backend) backendlimit.Limit {
	record, _ := s.limits.Lookup(s.keyOf(one.ID), one.Started)
	return record.Limit
}

// RefreshLimit puts in force what is known now of how many requests a back end takes. The declaration is looked up as it
// is put in force: the back end may have started again meanwhile.
func (s *Service) RefreshLimit(id string) {
	s.Dispatcher.SetLimit(id, func() backendlimit.Limit {
		if one, known := s.declared.Load().byID[id]; known {
			return s.limitOf(one)
		}
		return backendlimit.Limit{}
	})
}

// isLeaving says whether a back end is known to be leaving, as it says itself or the machine list does.
func (s *Service) isLeaving(one *config.Backend) bool {
	_, leaving := s.drains.Leaving(s.keyOf(one.ID), one.Started)
	return leaving
}

// RefreshDrain puts in force what is known now of whether a back end is leaving.
func (s *Service) RefreshDrain(id string) {
	s.Dispatcher.SetDraining(id, func() bool {
		declared := s.declared.Load()
		one, known := declared.byID[id]
		return known && (s.isLeaving(one) || declared.closed(one))
	})
}
