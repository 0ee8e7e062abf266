package command

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
)

// tenantsCommand lists the usage of tenants' rates, or how capacity is divided between them.
type tenantsCommand struct {
	global *globalOptions
	Shares bool `long:"shares" description:"show how capacity is divided between tenants, by service"`
}

// Execute implements flags.Commander.
func (c *tenantsCommand) Execute([]string) error {
	ctx, cancel := c.global.context()
	defer cancel()
	if c.Shares {
		return c.printShares(ctx)
	}
	usage, err := c.global.client().Tenants(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{{"TENANT", "RATE", "BURST", "LEFT", "SERVED", "REFUSED"}}
	for _, tenantUsage := range usage {
		rows = append(rows, []string{tenantUsage.Tenant, fmt.Sprint(tenantUsage.Limit.Rate), fmt.Sprint(tenantUsage.Limit.Burst), fmt.Sprintf("%.0f", tenantUsage.Left), fmt.Sprint(tenantUsage.Used), fmt.Sprint(tenantUsage.Refused)})
	}
	return c.global.print(usage, rows)
}

// printShares prints by service and tenant who waits, holds slots and is refused.
func (c *tenantsCommand) printShares(ctx context.Context) error {
	shares, err := c.global.client().TenantShares(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{{"SERVICE", "DISPATCHER", "TENANT", "WEIGHT", "SHARE", "WAITING", "HOLDS", "NEEDS", "FAIR", "REFUSED", "HELD"}}
	for _, service := range shares {
		if len(service.Tenants) == 0 {
			rows = append(rows, []string{service.Service, service.Dispatcher, "-"})
		}
		for _, tenant := range service.Tenants {
			fair := "-"
			if tenant.Fair > 0 {
				fair = fmt.Sprintf("%.1f", tenant.Fair)
			}
			name := tenant.Tenant
			if name == "" {
				name = "(none)"
			}
			rows = append(rows, []string{
				service.Service, service.Dispatcher, name, fmt.Sprint(tenant.Weight), fmt.Sprint(tenant.Share), fmt.Sprint(tenant.Waiting), fmt.Sprint(tenant.Holds),
				fmt.Sprintf("%.1f", tenant.Needs), fair, fmt.Sprint(tenant.Refused), fmt.Sprint(tenant.Held),
			})
		}
	}
	return c.global.print(shares, rows)
}

// hashKeyCommand prints the hash of a tenant's key. It reads the key from the standard input,
// because an argument would be visible in the shell's history and in the list of processes.
type hashKeyCommand struct {
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *hashKeyCommand) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return &exitError{code: ExitUsage, cause: errors.NotValidf("the standard input (%v): one line with a key is expected; it", err)}
	}
	if len(key) > config.MaxKeyBytes {
		return &exitError{code: ExitUsage, cause: errors.NotValidf("a key of %d bytes: at most %d are allowed; it", len(key), config.MaxKeyBytes)}
	}
	text, err := config.HashKey(key).MarshalText()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.global.out, "%s\n", text)
	return err
}
