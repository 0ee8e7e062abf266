package slots

import (
	"context"
	"errors"
	"time"

	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/ratelimit"
)

// Exchange sends this daemon's report of tenant usage to the daemon at an address, and returns
// that daemon's report. It blocks for one round trip; the error is ErrUnreachable or that of
// ctx.
func (c *Client) Exchange(ctx context.Context, address string, report ratelimit.Report) (ratelimit.Report, error) {
	sess, err := c.sessionFor(address)
	if err != nil {
		return ratelimit.Report{}, err
	}
	return sess.exchange(ctx, report)
}

func (s *session) exchange(ctx context.Context, report ratelimit.Report) (ratelimit.Report, error) {
	id, replies, err := s.register()
	if err != nil {
		return ratelimit.Report{}, err
	}
	defer s.unregister(id, false)
	s.send(&peerpb.SlotRequest{Id: id, Uses: encodeReport(report)})
	select {
	case reply, open := <-replies:
		if !open {
			return ratelimit.Report{}, s.endErr()
		}
		if reply.Uses == nil {
			return ratelimit.Report{}, unreachable(errors.New("the reply contains no tenant usage"))
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
