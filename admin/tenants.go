package admin

import (
	"context"
	"net/http"

	"github.com/tuliphall/tuliphall/ratelimit"
)

// PathTenants tells what tenants use of their rates.
const PathTenants = "/v1/tenants"

// TenantReporter is what the server asks of the daemon's tenants.
type TenantReporter interface {
	// Tenants returns what tenants with a rate use, over all daemons. It blocks until the
	// daemons that count have answered, or were given up on.
	Tenants(ctx context.Context) []ratelimit.Usage
}

// Tenants returns what tenants with a rate use, over all daemons.
func (c *Client) Tenants(ctx context.Context) ([]ratelimit.Usage, error) {
	var usage []ratelimit.Usage
	err := c.call(ctx, http.MethodGet, PathTenants, nil, &usage)
	return usage, err
}

func (s *server) tenants(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.backend.Tenants(r.Context()))
}
