package service

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/clock"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/ratelimit"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// ErrOverBudget is returned if the retry budget of the service does not allow an attempt.
const ErrOverBudget = errors.ConstError("retry budget empty")

// Grantor is the role in which a daemon grants permits of a service. It determines the daemon's
// share of the retry burst and of the back ends' request limits. The shares of all daemons never
// add up to more than the whole, whichever daemons grant permits at the same time.
type Grantor struct {
	burstShare float64
	// independentDaemons is the known number of daemons that grant permits at the same time.
	independentDaemons int
	// limitShare is the fraction that the daemon uses of the request limits of back ends, after these
	// have been reduced to the share of the daemons that it can reach.
	limitShare float64
	// role determines the daemon's share of the tenants' rates.
	role ratelimit.Role
}

// dispatcherBurstShare is the dispatcher's share of the retry burst. The rest is for daemons that
// cannot reach it.
const dispatcherBurstShare = 0.75

// dispatcherLimitShare is the dispatcher's share of the request limits of back ends. The rest is for
// daemons that cannot reach it, the same fraction as of a tenant's rate, so that all daemons together
// stay within the limit. With 0.9, 147 of the 160 requests that the limits allow were answered; with
// 0.97, 157 (TestLoadAboveAllLimitsIsRefused).
const dispatcherLimitShare = 0.97

// budgetRetention is how long a daemon that receives no first attempts of a service keeps its retry
// budget. After that another daemon dispatches the service and accumulates a budget of its own.
const budgetRetention = 2 * time.Second

// AsDispatcher returns the role of the daemon that dispatches the service.
func AsDispatcher() Grantor {
	return Grantor{burstShare: dispatcherBurstShare, independentDaemons: 1, limitShare: dispatcherLimitShare, role: ratelimit.Dispatcher}
}

// AsFallback returns the role of one of the given number of daemons that decides by itself because the
// dispatcher is unreachable.
func AsFallback(daemons int) Grantor {
	return Grantor{burstShare: (1 - dispatcherBurstShare) / float64(max(daemons, 1)), independentDaemons: daemons, limitShare: (1 - dispatcherLimitShare) / float64(max(daemons, 1)), role: ratelimit.Fallback}
}

// AsIndependent returns the role of one of the given number of daemons that each decide by themselves.
func AsIndependent(daemons int) Grantor {
	return Grantor{burstShare: 1 / float64(max(daemons, 1)), independentDaemons: daemons, limitShare: 1 / float64(max(daemons, 1)), role: ratelimit.Independent}
}

// limitShareOf returns the share of the back ends' request limits that the daemon may use.
func (g Grantor) limitShareOf(shares backendlimit.Shares) routing.Share {
	share := routing.Share{Fraction: g.limitShare * shares.Reachable, Since: shares.PartitionedUntil}
	if g.role == ratelimit.Dispatcher {
		share.Fraction *= shares.Region
	}
	return share
}

// Acquire acquires a permit for an attempt. A first attempt adds to the retry budget, retries and
// hedges spend from it. It blocks while the request is queued. The error is ErrOverBudget, or a
// *resultcode.Failure whose code says that the request was not run.
func (s *Service) Acquire(ctx context.Context, grantor Grantor, kind retry.Kind, request dispatch.Request) (*dispatch.Grant, error) {
	if refused := s.quarantine.Check(request.Fingerprints); refused != nil {
		return nil, refused
	}
	countsForTenant := kind == retry.First && request.Tenant != ""
	if countsForTenant {
		if refused := s.rates.Take(request.Tenant, grantor.role); refused != nil {
			return nil, refused
		}
	}
	grant, err := s.acquireWithinRate(ctx, grantor, kind, request)
	if err != nil && countsForTenant {
		s.rates.Return(request.Tenant)
	}
	return grant, err
}

// acquireWithinRate is Acquire for a request that is within the rate of its tenant.
func (s *Service) acquireWithinRate(ctx context.Context, grantor Grantor, kind retry.Kind, request dispatch.Request) (*dispatch.Grant, error) {
	if !s.charge(grantor, kind, request.IsCallerRetry(time.Now())) {
		return nil, ErrOverBudget
	}
	request.NoWait = kind == retry.Hedge // a hedge is worth making only while permits are free
	if request.Tenant != "" {
		request.Share = s.shareOf(request.Tenant)
	}
	request.Routing.IndependentDaemons, request.Routing.LimitShare = grantor.independentDaemons, grantor.limitShareOf(s.limits.Shares())
	grant, err := s.Dispatcher.Acquire(ctx, request)
	if err != nil && kind.CostsBudget() {
		s.refund()
	}
	if err != nil {
		return nil, err
	}
	if refused := s.quarantine.Check(request.Fingerprints); refused != nil {
		// The request was quarantined while it was queued.
		grant.Done(routing.Canceled, 0, nil)
		return nil, refused
	}
	return grant, nil
}

// charge applies an attempt to the retry budget and reports whether the attempt may be made.
func (s *Service) charge(grantor Grantor, kind retry.Kind, callerRetry bool) bool {
	declared := s.Target().Service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.Ratio = declared.RetryRatio
	s.budget.Burst = declared.RetryBurst * grantor.burstShare
	if kind == retry.First {
		now := time.Now()
		if now.Sub(s.lastEarned) > budgetRetention || clock.WallElapsedExceeds(s.lastEarned, now, budgetRetention) {
			s.budget.Reset()
		}
		s.lastEarned = now
		s.budget.Earn()
		return true
	}
	return !kind.CostsBudget() || s.budget.Spend(kind, callerRetry)
}

// refund returns to the retry budget what was spent for an attempt that got no permit.
func (s *Service) refund() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.Refund()
}
