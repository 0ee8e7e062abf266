package fairshare

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// Phrases of Describe, by which refusals are recognized in logs.
const (
	PhraseOver  = "is over its share of the slots"
	PhraseShort = "is within its share of the slots"
)

// Status is the state of the account of one tenant, as shown to operators.
type Status struct {
	Tenant  string  `json:"tenant"` // empty: callers without a tenant
	Weight  int     `json:"weight"`
	Share   float64 `json:"share"`
	Waiting int     `json:"waiting"`
	Holds   int     `json:"holds"` // slots, by permits in flight
	// Needs is the slots that its requests of the last second need, and Fair those that it may
	// use while others wait; 0: capacity is not short.
	Needs   float64 `json:"needs"`
	Fair    float64 `json:"fair,omitempty"`
	Refused int     `json:"refused"` // since its account was opened
	// Held: it is held to its share.
	Held bool `json:"held"`
}

// Status returns the accounts by weight, the highest first, and by use.
func (l *Ledger) Status(now time.Time) []Status {
	var rows []Status
	for weight, book := range l.books {
		for _, account := range book.accounts {
			row := Status{
				Tenant: account.Tenant, Weight: weight, Share: account.share, Waiting: account.waiting, Holds: account.held,
				Needs: account.demand(now), Refused: account.refused, Held: account.restrained,
			}
			if level := book.currentLevel(now); !math.IsInf(level, 1) {
				row.Fair = level * account.share
			}
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(b.Holds, a.Holds), cmp.Compare(b.Needs, a.Needs), cmp.Compare(a.Tenant, b.Tenant))
	})
	return rows
}

// currentLevel returns the fair level, which applies while requests wait.
func (b *Book) currentLevel(now time.Time) float64 {
	if now.Sub(b.levelAt) > recent.CountPeriod {
		return math.Inf(1)
	}
	return b.level
}

// Totals are the numbers of accounts and of what was decided on them.
type Totals struct {
	Tenants int // with an account
	Held    int // to their share
	Refused int // requests since the ledger was made
}

// Totals returns the totals of all accounts.
func (l *Ledger) Totals() Totals {
	totals := Totals{Refused: l.refused}
	for _, book := range l.books {
		totals.Tenants += len(book.accounts)
		for _, account := range book.accounts {
			if account.restrained {
				totals.Held++
			}
		}
	}
	return totals
}

// Describe describes why a request of a tenant gets no permit: what its tenant needs and may use,
// and which tenant holds most slots. It returns an empty string if capacity is not short.
func (l *Ledger) Describe(now time.Time, weight int, tenant string) string {
	book, found := l.books[weight]
	if !found {
		return ""
	}
	account, found := book.accounts[tenant]
	level := book.currentLevel(now)
	if !found || math.IsInf(level, 1) {
		return ""
	}
	phrase := PhraseShort
	if account.overFair {
		phrase = PhraseOver
	}
	description := fmt.Sprintf("%s %s: it needs %.1f and may use %.1f", nameOf(tenant), phrase, account.demand(now), level*account.share)
	if book.largest != nil {
		description += fmt.Sprintf("; %s holds most, %d of %.0f", nameOf(book.largest.Tenant), book.largest.held, book.slots)
	}
	return description
}

// nameOf returns how a tenant is named in descriptions.
func nameOf(tenant string) string {
	if tenant == "" {
		return "no tenant"
	}
	return "tenant " + tenant
}
