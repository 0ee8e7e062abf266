package ratelimit

import "time"

// TenantUse is a grantor's report on one tenant.
type TenantUse struct {
	Tenant  string
	Used    uint64  // requests granted since the grantor became one
	Level   float64 // its estimate of what is left of the tenant's bucket
	Known   bool    // Level is not just the cautious initial value
	Refused uint64  // requests beyond the limit; only for operators
}

// Report is what one grantor tells another.
type Report struct {
	Grantor string
	Epoch   uint64 // of the counts; a new one means that they started again
	Settled bool   // tenants that it has not reported have full buckets
	Retired bool   // it grants no permits any more
	// Age is how long it has been a grantor.
	Age  time.Duration
	Uses []TenantUse
}

// Report returns what has changed since the last report to another grantor.
func (l *Limiter) Report(now time.Time, name string) Report {
	report := Report{Grantor: l.self, Epoch: l.epoch, Settled: l.isSettled(now), Retired: l.isRetired(now), Age: l.age(now)}
	to := l.peers[name]
	if to == nil {
		to = newPeerGrantor(now)
		l.peers[name] = to
	}
	if !l.IsGrantor(now) {
		return report
	}
	for tenant, b := range l.buckets {
		reported, known := to.reported[tenant]
		b = l.refilled(now, tenant, b.limit)
		// The level of a tenant at its limit is always reported: the other grantor may not get the
		// reports of all that serve the tenant.
		if known && reported == b.used && b.level >= 1 {
			continue
		}
		to.reported[tenant] = b.used
		report.Uses = append(report.Uses, TenantUse{Tenant: tenant, Used: b.used, Level: b.level, Known: b.known})
	}
	return report
}

// ReportLost notes that a report may not have reached a grantor, so that everything is reported again.
func (l *Limiter) ReportLost(name string) {
	if peer := l.peers[name]; peer != nil {
		clear(peer.reported)
		peer.unreachable = peer.lastReport.IsZero()
	}
}

// MergeReport merges another grantor's report. limits returns the limit of a tenant, or false
// if it has none.
func (l *Limiter) MergeReport(now time.Time, report Report, limits func(tenant string) (Limit, bool)) {
	if !l.IsGrantor(now) || report.Grantor == l.self {
		return
	}
	from := l.peers[report.Grantor]
	if from == nil {
		from = newPeerGrantor(now)
		l.peers[report.Grantor] = from
	}
	restarted := from.lastReport.IsZero() || from.epoch != report.Epoch
	if restarted {
		from.epoch = report.Epoch
		clear(from.used)
		clear(from.reported)
		clear(from.paces)
	}
	for _, use := range report.Uses {
		if limit, limited := limits(use.Tenant); limited {
			l.mergeUse(now, from, use, limit)
		}
	}
	from.lastReport = now
	if report.Retired {
		clear(from.paces)
		if !from.listed {
			delete(l.peers, report.Grantor)
		}
	}
	l.settled = l.settled || report.Settled
	l.metEarlier = l.metEarlier || report.Age >= l.age(now)+minSeniority
	if l.allReported(now) {
		l.round++
		l.roundStarted = now
	}
}

// mergeUse merges another grantor's report on one tenant.
func (l *Limiter) mergeUse(now time.Time, from *peerGrantor, use TenantUse, limit Limit) {
	_, present := l.buckets[use.Tenant]
	b := l.refilled(now, use.Tenant, limit)
	before, counted := from.used[use.Tenant]
	from.used[use.Tenant] = use.Used
	if counted && use.Used > before {
		pace := from.paces[use.Tenant]
		pace.Add(now, paceWindow, float64(use.Used-before))
		from.paces[use.Tenant] = pace
	}
	if !present {
		b.lastUsed = now
	}
	switch {
	case use.Known && !b.known:
		// The reported level does not include what this daemon granted before it knew the level.
		b.level, b.known = use.Level-b.spent, true
	case counted:
		b.level -= float64(use.Used) - float64(before)
		if use.Known || !b.known {
			// The other grantor knows of grants, or of silent grantors, that this one does not.
			b.level = min(b.level, use.Level+limit.Rate*l.aliveShare*maxReportAge.Seconds())
		}
	case present:
		if use.Known || !b.known {
			b.level = min(b.level, use.Level)
		}
	default:
		b.level = use.Level
	}
	b.level = max(b.level, -l.maxDebt(limit))
}

// maxDebt returns how far below 0 the level of a bucket may fall: what grantors can let through at most
// before they receive each other's reports.
func (l *Limiter) maxDebt(limit Limit) float64 {
	return Slack + limit.Burst + limit.Rate
}

// allReported returns whether every listed grantor that is not silent has reported in this round.
func (l *Limiter) allReported(now time.Time) bool {
	for _, peer := range l.peers {
		if peer.listed && !peer.silent(now) && !peer.lastReport.After(l.roundStarted) {
			return false
		}
	}
	return now.After(l.roundStarted)
}
