package slots

import (
	"context"
	"errors"
	"time"

	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/ratelimit"
)

// Exchange tells the daemon at an address what this one has let through for tenants, and
// returns what it tells. It blocks for the way there and back; the error is
// ErrUnreachable, or that of ctx.
func (c *Client) Exchange(ctx context.Context, address string, report ratelimit.Report) (ratelimit.Report, error) {
	opened, err := c.session(address)
	if err != nil {
		return ratelimit.Report{}, err
	}
	return opened.exchange(ctx, report)
}

func (s *session) exchange(ctx context.Context, report ratelimit.Report) (ratelimit.Report, error) {
	id, told, err := s.enter()
	if err != nil {
		return ratelimit.Report{}, err
	}
	defer s.leave(id, false)
	s.send(&peerpb.SlotRequest{Id: id, Uses: encodeReport(report)})
	select {
	case reply, open := <-told:
		if !open {
			return ratelimit.Report{}, s.failure()
		}
		if reply.Uses == nil {
			return ratelimit.Report{}, unreachable(errors.New("the answer tells no uses"))
		}
		return decodeReport(reply.Uses), nil
	case <-ctx.Done():
		return ratelimit.Report{}, ctx.Err()
	}
}

func encodeReport(report ratelimit.Report) *peerpb.TenantUses {
	encoded := &peerpb.TenantUses{Name: report.Grantor, Epoch: report.Epoch, Settled: report.Settled, Retired: report.Retired, AgeMs: report.Age.Milliseconds()}
	for _, use := range report.Uses {
		encoded.Uses = append(encoded.Uses, &peerpb.TenantUse{Tenant: use.Tenant, Used: use.Used, Level: use.Level, Known: use.Known, Refused: use.Refused})
	}
	return encoded
}

func decodeReport(encoded *peerpb.TenantUses) ratelimit.Report {
	report := ratelimit.Report{Grantor: encoded.Name, Epoch: encoded.Epoch, Settled: encoded.Settled, Retired: encoded.Retired, Age: time.Duration(encoded.AgeMs) * time.Millisecond}
	for _, use := range encoded.Uses {
		report.Uses = append(report.Uses, ratelimit.TenantUse{Tenant: use.Tenant, Used: use.Used, Level: use.Level, Known: use.Known, Refused: use.Refused})
	}
	return report
}
