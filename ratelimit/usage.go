package ratelimit

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"
)

// FullReport returns the counts of every tenant.
func (l *Limiter) FullReport(now time.Time) Report {
	report := Report{Grantor: l.self, Epoch: l.epoch, Settled: l.isSettled(now)}
	if !l.IsGrantor(now) {
		return report
	}
	for tenant, b := range l.buckets {
		b = l.refilled(now, tenant, b.limit)
		report.Uses = append(report.Uses, TenantUse{Tenant: tenant, Used: b.used, Level: b.level, Known: b.known, Refused: b.refused})
	}
	return report
}

// DescribeRefusal returns the reason why a request of a tenant exceeds its limit, as text.
func (l *Limiter) DescribeRefusal(now time.Time, tenant string) string {
	b := l.buckets[tenant]
	if !l.IsGrantor(now) {
		return "no daemon that counts could be reached"
	}
	var age time.Duration
	for _, peer := range l.peers {
		if peer.serves(now, tenant) {
			age = max(age, now.Sub(peer.lastSeen()))
		}
	}
	return fmt.Sprintf("%.1f are left, shared by %d, others' counts are up to %s old", b.level, l.sharers(now, tenant), age.Round(time.Millisecond))
}

// Usage is a tenant's use over all grantors.
type Usage struct {
	Tenant  string  `json:"tenant"`
	Limit   Limit   `json:"limit"`
	Left    float64 `json:"left"`    // of the bucket
	Used    uint64  `json:"used"`    // requests granted
	Refused uint64  `json:"refused"` // beyond the limit
}

// Usage returns what tenants have used, as reported by all grantors including this daemon. It blocks until
// each has answered or timed out.
func (f *FleetLimiter) Usage(ctx context.Context) []Usage {
	reports := []Report{f.HandleReport(Report{})}
	if f.fleet != nil {
		others, _ := f.fleet.Grantors()
		for _, grantor := range others {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			report, err := f.fleet.Exchange(ctx, grantor.Address, Report{})
			cancel()
			if err != nil {
				f.log.Info("querying the grantor failed", "grantor", grantor.Name, "error", err)
				continue
			}
			reports = append(reports, report)
		}
	}
	return f.sum(reports)
}

// sum combines the grantors' reports into one row a tenant, sorted by name.
func (f *FleetLimiter) sum(reports []Report) []Usage {
	byTenant := make(map[string]*Usage)
	for _, report := range reports {
		for _, use := range report.Uses {
			limit, limited := f.options.Limits(use.Tenant)
			if !limited {
				continue
			}
			usage := byTenant[use.Tenant]
			if usage == nil {
				usage = &Usage{Tenant: use.Tenant, Limit: limit, Left: use.Level}
				byTenant[use.Tenant] = usage
			}
			usage.Left = min(usage.Left, use.Level)
			usage.Used += use.Used
			usage.Refused += use.Refused
		}
	}
	rows := make([]Usage, 0, len(byTenant))
	for _, usage := range byTenant {
		rows = append(rows, *usage)
	}
	slices.SortFunc(rows, func(a, b Usage) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return rows
}
