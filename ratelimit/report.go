package ratelimit

import "time"

// TenantUse is what a grantor tells of a tenant.
type TenantUse struct {
	Tenant  string
	Used    uint64  // requests granted since the grantor began
	Level   float64 // what it takes to be left of the tenant's bucket
	Known   bool    // Level does not stem from caution alone
	Refused uint64  // requests beyond the limit; told to operators only
}

// Report is what a grantor tells another one.
type Report struct {
	Grantor string
	Epoch   uint64 // of the counts; another one tells that they began anew
	Settled bool   // a tenant that it never told of has a full bucket
	Retired bool   // it gives out no places any more
	// Age is for how long it has been a grantor.
	Age  time.Duration
	Uses []TenantUse
}

// Report returns what another grantor has not been told yet.
func (l *Limiter) Report(now time.Time, name string) Report {
	report := Report{Grantor: l.self, Epoch: l.epoch, Settled: l.isSettled(now), Retired: l.retired(now), Age: l.age(now)}
	to := l.others[name]
	if to == nil {
		to = newOther(now)
		l.others[name] = to
	}
	if !l.IsGrantor(now) {
		return report
	}
	for tenant, b := range l.buckets {
		told, known := to.told[tenant]
		b = l.refilled(now, tenant, b.limit)
		// Of a tenant at its limit the level is told in any case: the other one may not hear
		// of all that use it.
		if known && told == b.used && b.level >= 1 {
			continue
		}
		to.told[tenant] = b.used
		report.Uses = append(report.Uses, TenantUse{Tenant: tenant, Used: b.used, Level: b.level, Known: b.known})
	}
	return report
}

// ReportLost forgets what a grantor was told, as it may not have got it.
func (l *Limiter) ReportLost(name string) {
	if one := l.others[name]; one != nil {
		clear(one.told)
		one.unreached = one.heard.IsZero()
	}
}

// MergeReport takes in what another grantor tells. limits gives the limit of a tenant, and false
// for one that has none.
func (l *Limiter) MergeReport(now time.Time, report Report, limits func(tenant string) (Limit, bool)) {
	if !l.IsGrantor(now) || report.Grantor == l.self {
		return
	}
	from := l.others[report.Grantor]
	if from == nil {
		from = newOther(now)
		l.others[report.Grantor] = from
	}
	anew := from.heard.IsZero() || from.epoch != report.Epoch
	if anew {
		from.epoch = report.Epoch
		clear(from.used)
		clear(from.told)
		clear(from.paces)
	}
	for _, use := range report.Uses {
		if limit, limited := limits(use.Tenant); limited {
			l.hearUse(now, from, use, limit)
		}
	}
	from.heard = now
	if report.Retired {
		clear(from.paces)
		if !from.expected {
			delete(l.others, report.Grantor)
		}
	}
	l.settled = l.settled || report.Settled
	l.met = l.met || report.Age >= l.age(now)+beforeTime
	if l.allHeard(now) {
		l.round++
		l.roundAt = now
	}
}

// hearUse takes in what another grantor has let through for a tenant.
func (l *Limiter) hearUse(now time.Time, from *other, use TenantUse, limit Limit) {
	_, present := l.buckets[use.Tenant]
	b := l.refilled(now, use.Tenant, limit)
	before, counted := from.used[use.Tenant]
	from.used[use.Tenant] = use.Used
	if counted && use.Used > before {
		used := from.paces[use.Tenant]
		used.Add(now, paceTime, float64(use.Used-before))
		from.paces[use.Tenant] = used
	}
	if !present {
		b.last = now
	}
	switch {
	case use.Known && !b.known:
		// What this daemon granted before it knew is not in what the other one has.
		b.level, b.known = use.Level-b.spent, true
	case counted:
		b.level -= float64(use.Used) - float64(before)
		if use.Known || !b.known {
			// The other one knows of grants, or of silence, that this one does not.
			b.level = min(b.level, use.Level+limit.Rate*l.visible*hearingTime.Seconds())
		}
	case present:
		if use.Known || !b.known {
			b.level = min(b.level, use.Level)
		}
	default:
		b.level = use.Level
	}
	b.level = max(b.level, -l.mostDebt(limit))
}

// mostDebt is how far below nothing a bucket may be: what grantors can let through at most
// before they hear of each other.
func (l *Limiter) mostDebt(limit Limit) float64 {
	return Slack + limit.Burst + limit.Rate
}

// allHeard says whether each grantor that is not silent was heard from in this round.
func (l *Limiter) allHeard(now time.Time) bool {
	for _, one := range l.others {
		if one.expected && !one.silent(now) && !one.heard.After(l.roundAt) {
			return false
		}
	}
	return now.After(l.roundAt)
}
