// Package fairshare divides capacity between tenants in proportion to their shares.
//
// It keeps virtual-time accounts as start-time fair queueing does (Goyal, Vin and Cheng,
// 1996). The start tag of a request is the larger of the virtual time and the finish tag of
// its tenant. The waiting request with the smallest start tag is granted a permit first, and
// its tenant's finish tag becomes the start tag plus the cost divided by the share. Cost is
// slot time: from the grant of a permit to its release, but only while requests wait. Use
// while nobody waits takes nothing from others and leaves no debt.
//
// The package is pure and not safe for concurrent use.
package fairshare

import (
	"math"
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

const (
	// DefaultShare is the share of a tenant that declares none.
	DefaultShare = 1.0
	// minShare keeps the tags of a tenant with a tiny share within the precision of float64.
	minShare = 0.001
	// defaultCost is the estimated slot time of a request before any permit was released. All
	// tenants get the same estimate, so that it affects no order.
	defaultCost = 100 * time.Millisecond
	// costSamples is the number of released permits over which the mean slot time is averaged.
	costSamples = 16
	// maxDebt bounds the slot time that a permit costs in a period of contention, as its release may
	// be lost, and the slot time that a tenant can owe at its share, unless the deadline of its
	// request is later. A tenant whose requests held all slots thus waits at most until the others
	// have used as much for each unit of share.
	maxDebt = time.Minute
	// PeriodGap is how long no request may wait for a period of contention to end. With the end
	// of a period, all debts end. Under overload a short queue is empty now and then.
	PeriodGap = 100 * time.Millisecond
	// levelInterval is how often the fair level is recomputed, with one more interval for each
	// levelAccounts accounts, as the cost of a computation grows with their number.
	levelInterval = 20 * time.Millisecond
	levelAccounts = 500
	// maxLevelRounds bounds the rounds of the computation of the fair level. Each round finds
	// further tenants that need less than the level; one that is found in none is counted as if
	// it used the whole level, which lowers the level.
	maxLevelRounds = 8
	// retention is how long the account of a tenant is kept after its last request. It covers the
	// window over which demand is measured, so that what is evicted affects no prediction.
	retention = 2 * recent.CountPeriod
	// restraintHold is how long a tenant counts as held to its share after its last refusal. It
	// keeps a tenant whose load varies from beginning and ceasing with each burst.
	restraintHold = 5 * time.Second
	// sweepInterval is how often accounts are evicted.
	sweepInterval = time.Second
)

// Ledger holds the accounts of the tenants of one service.
type Ledger struct {
	// OnRestraint is called when a tenant begins or ceases to be held to its share; nil: not
	// called. It must not block.
	OnRestraint func(tenant string, restrained bool)

	books map[int]*Book // by weight
	// waiting tells whether requests waited at lastObserved, and lastWaiting is when they last did.
	waiting      bool
	lastObserved time.Time
	lastWaiting  time.Time
	contended    time.Duration // total time in which requests waited
	// period numbers the periods of contention, and periodStart is the contended time at the start
	// of the present or last one.
	period      int
	periodStart time.Duration
	inFlight    Charge // sentinel of the list of permits in flight
	lastSweep   time.Time
	refused     int     // requests, since the ledger was made
	meanCost    float64 // seconds of slot time of a permit; 0: unknown
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger {
	ledger := &Ledger{books: make(map[int]*Book)}
	ledger.inFlight.next, ledger.inFlight.previous = &ledger.inFlight, &ledger.inFlight
	return ledger
}

// Book holds the accounts of the tenants for requests of one weight. Capacity is divided
// within a weight.
type Book struct {
	ledger    *Ledger
	weight    int
	virtual   float64
	period    int // of contention, to which the tags belong
	maxFinish float64
	debtsEnd  float64 // the virtual time when debts last ended
	accounts  map[string]*Account

	levelAt   time.Time
	level     float64  // slots for each unit of share; +Inf: demand is below the capacity
	largest   *Account // the tenant that holds most slots
	slots     float64  // that are held by the tenants of this weight
	overCount int      // tenants that demand more than their share
	needs     []need   // of the computation of the level, kept to reuse its memory
}

// Account is the account of one tenant for requests of one weight.
type Account struct {
	Tenant string

	book     *Book
	share    float64
	finish   float64
	held     int // permits in flight
	waiting  int // requests that wait
	arrivals recent.Count
	refused  int
	meanCost float64 // seconds; 0: unknown
	maxDebt  float64 // seconds of slot time, at its share
	lastUsed time.Time
	overFair bool // demand exceeded the share when the level was last computed
	// restrained: the tenant is held to its share, as requests were refused while its demand
	// exceeded it. It ends at restrainedUntil.
	restrained      bool
	restrainedUntil time.Time
}

// Charge is what a permit in flight costs its tenant. The zero value is no charge.
type Charge struct {
	account        *Account
	share          float64       // of the account at the grant
	charged        float64       // seconds
	limit          time.Duration // that it costs at most
	contendedSince time.Duration // the ledger's contended time at the grant, or at the start of period
	period         int
	grantedAt      time.Time
	next, previous *Charge
}

// Observe records whether requests wait now. It must be called before each change of the
// number of waiting requests, or soon after it.
func (l *Ledger) Observe(now time.Time, waiting bool) {
	if l.waiting && now.After(l.lastObserved) {
		// The queue is checked many times within PeriodGap while requests wait.
		l.contended += min(now.Sub(l.lastObserved), PeriodGap)
		l.lastWaiting = l.lastObserved
	}
	if waiting {
		if now.Sub(l.lastWaiting) > PeriodGap {
			l.period++
			l.periodStart = l.contended
		}
		l.lastWaiting = now
	}
	l.waiting, l.lastObserved = waiting, now
	l.sweep(now)
}

// Book returns the accounts for a weight.
func (l *Ledger) Book(weight int) *Book {
	book, found := l.books[weight]
	if !found {
		book = &Book{ledger: l, weight: weight, accounts: make(map[string]*Account), level: math.Inf(1)}
		l.books[weight] = book
	}
	book.endDebts()
	return book
}

// endDebts advances the virtual time past all finish tags if no request has waited for PeriodGap,
// or if a new period of contention has begun since the last call.
func (b *Book) endDebts() {
	idle := !b.ledger.waiting && b.ledger.lastObserved.Sub(b.ledger.lastWaiting) > PeriodGap
	if idle || b.period != b.ledger.period {
		b.virtual, b.period = max(b.virtual, b.maxFinish), b.ledger.period
		b.debtsEnd = b.virtual
	}
}

// Account returns the account of a tenant with a share; 0: DefaultShare.
func (b *Book) Account(now time.Time, tenant string, share float64) *Account {
	account, found := b.accounts[tenant]
	if !found {
		account = &Account{Tenant: tenant, book: b}
		b.accounts[tenant] = account
	}
	if share <= 0 {
		share = DefaultShare
	}
	account.share, account.lastUsed = max(share, minShare), now
	return account
}

// RecordArrival counts a request that asks for a permit, whether or not it will wait.
func (a *Account) RecordArrival(now time.Time) {
	a.arrivals.Add(now)
}

// StartTag returns the start tag of the tenant's next request.
func (a *Account) StartTag() float64 {
	return max(a.book.virtual, a.finish)
}

// TagFrom is StartTag for a request that became the tenant's next one at this virtual time.
func (a *Account) TagFrom(virtual float64) float64 {
	return max(virtual, a.finish)
}

// NoTag is larger than every start tag.
var NoTag = math.Inf(1)

// TagAfter returns the estimated start tag of the request that has this many of the tenant
// ahead of it.
func (a *Account) TagAfter(start float64, ahead int) float64 {
	return start + float64(ahead)*a.cost()/a.share
}

// CountBefore estimates how many of this many waiting requests of the tenant, the first of
// which has the start tag, are granted a permit before a request with the given tag.
func (a *Account) CountBefore(start float64, count int, tag float64) int {
	if start > tag {
		return 0
	}
	return int(min(float64(count), (tag-start)*a.share/a.cost()+1))
}

// SetWaiting records how many requests of the tenant wait.
func (a *Account) SetWaiting(count int) {
	a.waiting = count
}

// Refuse counts a request that is refused a permit.
func (a *Account) Refuse(now time.Time) {
	a.refused++
	a.book.ledger.refused++
	a.lastUsed = now
	if a.overFair {
		a.restrain(now)
	}
}

// restrain records that the tenant is held to its share.
func (a *Account) restrain(now time.Time) {
	if !a.restrained {
		a.restrained = true
		a.book.ledger.notify(a, true)
	}
	a.restrainedUntil = now.Add(restraintHold)
}

// EndRestraints ends and reports all restraints. It must be called when the ledger is no longer used.
func (l *Ledger) EndRestraints() {
	for _, book := range l.books {
		for _, account := range book.accounts {
			if account.restrained {
				account.restrained = false
				l.notify(account, false)
			}
		}
	}
}

// notify reports that a tenant begins or ceases to be held to its share.
func (l *Ledger) notify(account *Account, restrained bool) {
	if l.OnRestraint != nil {
		l.OnRestraint(account.Tenant, restrained)
	}
}

// cost returns the estimated slot time of a request in seconds.
func (a *Account) cost() float64 {
	if a.meanCost > 0 {
		return a.meanCost
	}
	return a.book.ledger.cost()
}

// cost returns the mean slot time of a permit in seconds.
func (l *Ledger) cost() float64 {
	if l.meanCost > 0 {
		return l.meanCost
	}
	return defaultCost.Seconds()
}

// Grant charges a permit to an account. estimate is the usual slot time of the request; 0:
// unknown. left is the time until its deadline. minWaitingTag is the smallest start tag of the tenants
// that still wait for a permit of this weight; +Inf: none waits. A request may be granted a permit
// before them that none of them may use, which must not advance the virtual time past their tags.
func (l *Ledger) Grant(now time.Time, charge *Charge, account *Account, estimate, left time.Duration, minWaitingTag float64) {
	seconds := estimate.Seconds()
	if seconds <= 0 {
		seconds = account.cost()
	}
	book := account.book
	start := account.StartTag()
	book.virtual = max(book.virtual, min(start, minWaitingTag))
	*charge = Charge{
		account: account, share: account.share, charged: seconds, limit: max(left, maxDebt), contendedSince: l.contended, period: l.period, grantedAt: now,
		next: &l.inFlight, previous: l.inFlight.previous,
	}
	charge.previous.next, l.inFlight.previous = charge, charge
	account.held++
	account.lastUsed = now
	account.maxDebt = charge.limit.Seconds()
	account.setFinish(start + seconds/charge.share)
}

// setFinish sets the finish tag, within the largest debt of the virtual time.
func (a *Account) setFinish(finish float64) {
	a.finish = min(finish, a.book.virtual+a.maxDebt/a.share)
	a.book.maxFinish = max(a.book.maxFinish, a.finish)
}

// Payer returns the weight and the tenant that pay the charge; false: there is no charge.
func (c *Charge) Payer() (weight int, tenant string, charged bool) {
	if c.account == nil {
		return 0, "", false
	}
	return c.account.book.weight, c.account.Tenant, true
}

// Settle replaces the estimated cost of a permit by its actual cost when it is released.
func (l *Ledger) Settle(now time.Time, charge *Charge) {
	account := charge.account
	if account == nil {
		return
	}
	l.Observe(now, l.waiting)
	actual := l.used(charge)
	account.setFinish(account.finish + (actual-charge.charged)/charge.share)
	account.held--
	account.lastUsed = now
	held := now.Sub(charge.grantedAt).Seconds()
	average(&account.meanCost, held)
	average(&l.meanCost, held)
	charge.previous.next, charge.next.previous = charge.next, charge.previous
	*charge = Charge{}
}

// used returns the slot time in seconds for which a permit is to be charged so far. The debts of
// earlier periods have ended, so that what was charged in them does not count. What is charged in
// this one is added to the virtual time at which they ended: a finish tag below it would let a permit
// of minutes be used for free until the tag has caught up.
func (l *Ledger) used(charge *Charge) float64 {
	if charge.period != l.period {
		book := charge.account.book
		book.endDebts()
		charge.account.finish = max(charge.account.finish, book.debtsEnd)
		charge.period, charge.charged, charge.contendedSince = l.period, 0, max(charge.contendedSince, l.periodStart)
	}
	return min(l.contended-charge.contendedSince, charge.limit).Seconds()
}

// average adds a sample to a moving average.
func average(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += (sample - *mean) / costSamples
}

// Accrue charges the permits in flight that have been held for longer than estimated, as those
// of streams and upgrades are. It must be called regularly while requests wait.
func (l *Ledger) Accrue(now time.Time) {
	l.Observe(now, l.waiting)
	for charge := l.inFlight.next; charge != &l.inFlight; charge = charge.next {
		if actual := l.used(charge); actual > charge.charged {
			charge.account.setFinish(charge.account.finish + (actual-charge.charged)/charge.share)
			charge.charged = actual
		}
	}
}

// sweep evicts the accounts of tenants that have neither requests nor debt and have sent
// nothing for a while.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for weight, book := range l.books {
		book.endDebts()
		for tenant, account := range book.accounts {
			if account.restrained && now.After(account.restrainedUntil) {
				account.restrained = false
				l.notify(account, false)
			}
			if account.held == 0 && account.waiting == 0 && account.finish <= book.virtual && now.Sub(account.lastUsed) > retention && !account.restrained {
				delete(book.accounts, tenant)
			}
		}
		if len(book.accounts) == 0 {
			delete(l.books, weight)
		}
	}
}

// Len returns the number of accounts.
func (l *Ledger) Len() int {
	count := 0
	for _, book := range l.books {
		count += len(book.accounts)
	}
	return count
}

// Virtual returns the virtual time.
func (b *Book) Virtual() float64 {
	return b.virtual
}

// PermitRate returns the permits per second that an account gets at its share of the given
// number of permits per second. It is at most permitsPerSecond.
func (a *Account) PermitRate(now time.Time, permitsPerSecond float64) float64 {
	a.book.updateLevel(now, permitsPerSecond)
	if math.IsInf(a.book.level, 1) {
		return permitsPerSecond
	}
	return min(a.book.level*a.share/a.cost(), permitsPerSecond)
}

// updateLevel computes the fair level of a capacity by water-filling: every tenant gets the
// slots that it needs, but at most the level times its share, and the level is such that all
// capacity is used.
func (b *Book) updateLevel(now time.Time, permitsPerSecond float64) {
	interval := levelInterval * time.Duration(1+len(b.accounts)/levelAccounts)
	if !b.levelAt.IsZero() && now.Sub(b.levelAt) < interval {
		return
	}
	b.levelAt = now
	b.largest, b.slots = nil, 0
	b.needs = b.needs[:0]
	demand := 0.0
	for _, account := range b.accounts {
		b.slots += float64(account.held)
		if b.largest == nil || account.held > b.largest.held {
			b.largest = account
		}
		needed := account.demand(now)
		demand += needed
		b.needs = append(b.needs, need{account: account, share: account.share, slots: needed})
	}
	capacity := permitsPerSecond * b.ledger.cost()
	b.level = math.Inf(1)
	if demand > capacity {
		b.level = b.fill(capacity)
	}
	b.overCount = 0
	for _, need := range b.needs {
		// Without capacity, higher weights hold the tenants back, and not their shares.
		need.account.overFair = capacity > 0 && need.slots > b.level*need.share
		if need.account.overFair {
			b.overCount++
		}
	}
	clear(b.needs) // evicted accounts are released
}

// need is the slots that a tenant needs.
type need struct {
	account      *Account
	share, slots float64
}

// fill returns the level at which the tenants use the whole capacity, which is less than they
// need. The level rises in each round, as the tenants that need less than it are found.
func (b *Book) fill(capacity float64) float64 {
	level := 0.0
	for range maxLevelRounds {
		remaining, shares := capacity, 0.0
		for _, need := range b.needs {
			if need.slots <= level*need.share {
				remaining -= need.slots
			} else {
				shares += need.share
			}
		}
		if shares == 0 {
			return level
		}
		next := max(remaining/shares, level)
		if next == level {
			return level
		}
		level = next
	}
	return level
}

// demand returns the slots that the tenant needs for the requests that arrive.
func (a *Account) demand(now time.Time) float64 {
	return a.arrivals.PerSecond(now) * a.cost()
}

// OnlyOthersOverShare reports whether other tenants demanded more than their shares, but this
// one did not, when the fair level was last computed, which PermitRate does.
func (a *Account) OnlyOthersOverShare() bool {
	return !a.overFair && a.book.overCount > 0
}

// ArrivalsPerSecond returns the rate of the tenant's requests.
func (a *Account) ArrivalsPerSecond(now time.Time) float64 {
	return a.arrivals.PerSecond(now)
}
