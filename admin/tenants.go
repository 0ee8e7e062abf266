package admin

import (
	"context"
	"net/http"

	"github.com/tuliphall/tuliphall/fairshare"
	"github.com/tuliphall/tuliphall/ratelimit"
)

// Paths of what tenants use.
const (
	// PathTenants returns the usage of tenants with a rate limit.
	PathTenants = "/v1/tenants"
	// PathTenantShares returns how capacity is divided between tenants.
	PathTenantShares = "/v1/tenant-shares"
)

// ServiceShares is how the capacity of a service is divided between tenants.
type ServiceShares struct {
	Service string `json:"service"`
	// Dispatcher is the daemon that divides it. Tenants are those at the queried daemon, which
	// are all only if it is the dispatcher.
	Dispatcher string             `json:"dispatcher"`
	Tenants    []fairshare.Status `json:"tenants"`
}

// TenantReporter gives the server access to the usage of tenants.
type TenantReporter interface {
	// Tenants returns the usage of tenants with a rate limit over all daemons. It blocks until
	// the daemons that count requests have responded or timed out.
	Tenants(ctx context.Context) []ratelimit.Usage
	// TenantShares returns the services whose capacity is divided between tenants.
	TenantShares() []ServiceShares
}

// Tenants returns the usage of tenants with a rate limit over all daemons.
func (c *Client) Tenants(ctx context.Context) ([]ratelimit.Usage, error) {
	var usage []ratelimit.Usage
	err := c.call(ctx, http.MethodGet, PathTenants, nil, &usage)
	return usage, err
}

// TenantShares returns the services whose capacity is divided between tenants.
func (c *Client) TenantShares(ctx context.Context) ([]ServiceShares, error) {
	var shares []ServiceShares
	err := c.call(ctx, http.MethodGet, PathTenantShares, nil, &shares)
	return shares, err
}

func (s *server) tenantShares(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.daemon.TenantShares())
}

func (s *server) tenants(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.daemon.Tenants(r.Context()))
}
