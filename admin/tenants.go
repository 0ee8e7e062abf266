package admin

import (
	"context"
	"net/http"

	"github.com/tuliphall/tuliphall/ratelimit"
)

// PathTenants returns the usage of tenants with a rate limit.
const PathTenants = "/v1/tenants"

// TenantReporter gives the server access to the usage of tenants.
type TenantReporter interface {
	// Tenants returns the usage of tenants with a rate limit over all daemons. It blocks until
	// the daemons that count requests have responded or timed out.
	Tenants(ctx context.Context) []ratelimit.Usage
}

// Tenants returns the usage of tenants with a rate limit over all daemons.
func (c *Client) Tenants(ctx context.Context) ([]ratelimit.Usage, error) {
	var usage []ratelimit.Usage
	err := c.call(ctx, http.MethodGet, PathTenants, nil, &usage)
	return usage, err
}

func (s *server) tenants(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.daemon.Tenants(r.Context()))
}
