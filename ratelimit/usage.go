package ratelimit

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"
)

// FullReport returns what is known of every tenant.
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

// DescribeRefusal says in words why a request of a tenant is beyond its limit.
func (l *Limiter) DescribeRefusal(now time.Time, tenant string) string {
	b := l.buckets[tenant]
	if !l.IsGrantor(now) {
		return "no daemon that counts could be reached"
	}
	var age time.Duration
	for _, one := range l.others {
		if one.serves(now, tenant) {
			age = max(age, now.Sub(one.lastSign()))
		}
	}
	return fmt.Sprintf("%.1f are left, shared by %d, others' counts are up to %s old", b.level, l.sharers(now, tenant), age.Round(time.Millisecond))
}

// Usage is what is known of a tenant's use.
type Usage struct {
	Tenant  string  `json:"tenant"`
	Limit   Limit   `json:"limit"`
	Left    float64 `json:"left"`    // of the bucket
	Used    uint64  `json:"used"`    // requests granted
	Refused uint64  `json:"refused"` // beyond the limit
}

// Usage asks all grantors, this daemon included, what tenants have used. It blocks until
// they have answered or were given up on.
func (k *FleetLimiter) Usage(ctx context.Context) []Usage {
	reports := []Report{k.HandleReport(Report{})}
	if k.fleet != nil {
		others, _ := k.fleet.Grantors()
		for _, grantor := range others {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			report, err := k.fleet.Exchange(ctx, grantor.Address, Report{})
			cancel()
			if err != nil {
				k.log.Info("grantor not asked", "grantor", grantor.Name, "error", err)
				continue
			}
			reports = append(reports, report)
		}
	}
	return k.sum(reports)
}

// sum joins what grantors have reported, in the order of the tenants.
func (k *FleetLimiter) sum(reports []Report) []Usage {
	byTenant := make(map[string]*Usage)
	for _, report := range reports {
		for _, use := range report.Uses {
			limit, limited := k.options.Limits(use.Tenant)
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
