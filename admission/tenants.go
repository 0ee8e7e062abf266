package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/fairshare"
)

// tenantQueues holds the waiting tickets while capacity is divided between tenants: by weight,
// then by the start tags of their tenants, then in the order of the tickets of one tenant.
type tenantQueues struct {
	ledger   *fairshare.Ledger
	levels   []*weightLevel // with waiting tickets, the highest weight first
	length   int
	sequence uint64
	cursors  cursorHeap // shedByTenant reuses the memory
	// Empty levels and queues are reused: under overload, tenants begin and cease to wait with each
	// request. There are at most as many as there were waiting requests at once.
	freeLevels []*weightLevel
	freeQueues []*tenantQueue
}

// weightLevel holds the waiting tickets of one weight.
type weightLevel struct {
	weight  int
	length  int
	tenants tenantHeap
	byName  map[string]*tenantQueue
}

// tenantQueue holds the waiting tickets of one tenant and weight.
type tenantQueue struct {
	account *fairshare.Account
	tickets ticketHeap
	// floor is the virtual time when the first of the tickets became the tenant's next one, and
	// tag its start tag.
	floor, tag float64
	sequence   uint64 // of equal tags, the tenant that has waited longer goes first
	index      int
}

// DivideByTenant sets whether capacity is divided between the tenants of one weight in
// proportion to their shares. Tickets that already wait stay queued.
func (q *Queue) DivideByTenant(now time.Time, divide bool) {
	if divide == (q.tenants != nil) {
		return
	}
	if divide {
		waiting := slices.Clone(q.tickets)
		q.tickets = nil
		q.tenants = &tenantQueues{ledger: fairshare.NewLedger()}
		for _, ticket := range waiting {
			q.tenants.push(ticket, q.tenants.account(now, ticket))
		}
		q.tenants.observe(now)
		return
	}
	q.tenants.ledger.EndRestraints()
	levels := q.tenants.levels
	q.tenants = nil
	for _, level := range levels {
		for _, waiting := range level.tenants {
			for _, ticket := range waiting.tickets {
				ticket.tenant = nil
				heap.Push(&q.tickets, ticket)
			}
		}
	}
}

// Divided reports whether capacity is divided between tenants.
func (q *Queue) Divided() bool {
	return q.tenants != nil
}

// Ledger returns the accounts of the tenants, or nil if capacity is not divided.
func (q *Queue) Ledger() *fairshare.Ledger {
	if q.tenants == nil {
		return nil
	}
	return q.tenants.ledger
}

// RecordTenantArrival counts a request of a tenant, whether or not it will wait.
func (q *Queue) RecordTenantArrival(now time.Time, weight int, tenant string, share float64) {
	if q.tenants == nil {
		return
	}
	q.tenants.observe(now)
	q.tenants.ledger.Book(weight).Account(now, tenant, share).RecordArrival(now)
}

// Charge charges a permit to a tenant. estimate is the usual slot time of the request; 0:
// unknown. left is the time until its deadline.
func (q *Queue) Charge(now time.Time, charge *fairshare.Charge, weight int, tenant string, share float64, estimate, left time.Duration) {
	if q.tenants == nil {
		return
	}
	t := q.tenants
	t.observe(now)
	book := t.ledger.Book(weight)
	level := t.level(weight)
	t.ledger.Grant(now, charge, book.Account(now, tenant, share), estimate, left, level.firstTag())
	if waiting := level.find(tenant); waiting != nil {
		t.sequence++
		waiting.floor, waiting.sequence = book.Virtual(), t.sequence
		waiting.tag = waiting.account.StartTag()
		heap.Fix(&level.tenants, waiting.index)
	}
}

// Settle replaces the estimated cost of a permit by its actual cost when it is released.
func (q *Queue) Settle(now time.Time, charge *fairshare.Charge) {
	if q.tenants == nil {
		return
	}
	q.tenants.observe(now)
	weight, tenant, charged := charge.Payer()
	q.tenants.ledger.Settle(now, charge)
	level := q.tenants.level(weight)
	if waiting := level.find(tenant); charged && waiting != nil {
		waiting.retag()
		heap.Fix(&level.tenants, waiting.index)
	}
}

// account returns the account of a ticket's tenant.
func (t *tenantQueues) account(now time.Time, ticket *Ticket) *fairshare.Account {
	return t.ledger.Book(ticket.Weight).Account(now, ticket.Tenant, ticket.Share)
}

// observe tells the ledger whether requests wait.
func (t *tenantQueues) observe(now time.Time) {
	t.ledger.Observe(now, t.length > 0)
}

// level returns the waiting tickets of a weight, or nil if there are none.
func (t *tenantQueues) level(weight int) *weightLevel {
	index, found := t.search(weight)
	if !found {
		return nil
	}
	return t.levels[index]
}

func (t *tenantQueues) search(weight int) (index int, found bool) {
	return slices.BinarySearchFunc(t.levels, weight, func(level *weightLevel, weight int) int { return cmp.Compare(weight, level.weight) })
}

// find returns the waiting tickets of a tenant, or nil if there are none.
func (l *weightLevel) find(tenant string) *tenantQueue {
	if l == nil {
		return nil
	}
	return l.byName[tenant]
}

// firstTag returns the smallest start tag of the waiting tenants; +Inf: none waits.
func (l *weightLevel) firstTag() float64 {
	if l == nil {
		return fairshare.NoTag
	}
	return l.tenants[0].tag
}

// retag recomputes the start tag after a change of the account.
func (w *tenantQueue) retag() {
	w.tag = w.account.TagFrom(w.floor)
}

func (t *tenantQueues) push(ticket *Ticket, account *fairshare.Account) {
	index, found := t.search(ticket.Weight)
	if !found {
		t.levels = slices.Insert(t.levels, index, t.newLevel(ticket.Weight))
	}
	level := t.levels[index]
	waiting, found := level.byName[ticket.Tenant]
	if !found {
		t.sequence++
		waiting = t.newQueue()
		waiting.account, waiting.sequence = account, t.sequence
		waiting.floor, waiting.tag = t.ledger.Book(ticket.Weight).Virtual(), account.StartTag()
		level.byName[ticket.Tenant] = waiting
	}
	heap.Push(&waiting.tickets, ticket)
	ticket.tenant = waiting
	if !found {
		heap.Push(&level.tenants, waiting)
	}
	level.length++
	t.length++
	account.SetWaiting(len(waiting.tickets))
}

func (t *tenantQueues) remove(ticket *Ticket) {
	waiting := ticket.tenant
	index, _ := t.search(ticket.Weight)
	level := t.levels[index]
	heap.Remove(&waiting.tickets, ticket.index)
	ticket.tenant = nil
	waiting.account.SetWaiting(len(waiting.tickets))
	if len(waiting.tickets) == 0 {
		heap.Remove(&level.tenants, waiting.index)
		delete(level.byName, ticket.Tenant)
		waiting.account = nil // it may be evicted
		t.freeQueues = append(t.freeQueues, waiting)
	}
	level.length--
	t.length--
	if level.length == 0 {
		t.levels = slices.Delete(t.levels, index, index+1)
		t.freeLevels = append(t.freeLevels, level)
	}
}

// newLevel returns an empty level.
func (t *tenantQueues) newLevel(weight int) *weightLevel {
	last := len(t.freeLevels) - 1
	if last < 0 {
		return &weightLevel{weight: weight, byName: make(map[string]*tenantQueue)}
	}
	level := t.freeLevels[last]
	t.freeLevels = t.freeLevels[:last]
	level.weight = weight
	return level
}

// newQueue returns an empty queue.
func (t *tenantQueues) newQueue() *tenantQueue {
	last := len(t.freeQueues) - 1
	if last < 0 {
		return &tenantQueue{}
	}
	waiting := t.freeQueues[last]
	t.freeQueues = t.freeQueues[:last]
	return waiting
}

// first returns the ticket that is granted the next permit, or nil if there is none.
func (t *tenantQueues) first() *Ticket {
	if len(t.levels) == 0 {
		return nil
	}
	return t.levels[0].tenants[0].tickets[0]
}

// firstN returns up to limit tickets, by weight, and within a weight first one of each tenant.
func (t *tenantQueues) firstN(limit int) []*Ticket {
	var peeked []*Ticket
	for _, level := range t.levels {
		tenants := peekHeap(level.tenants, limit, compareTenants, func(waiting *tenantQueue) int { return waiting.index })
		tickets := make([][]*Ticket, 0, len(tenants))
		for _, waiting := range tenants {
			tickets = append(tickets, waiting.tickets.firstN(limit-len(peeked)))
		}
		for round := 0; round < limit; round++ {
			for _, own := range tickets {
				if round < len(own) && len(peeked) < limit {
					peeked = append(peeked, own[round])
				}
			}
		}
	}
	return peeked
}

// countHigher returns the number of waiting tickets of higher weights.
func (t *tenantQueues) countHigher(weight int) int {
	count := 0
	for _, level := range t.levels {
		if level.weight > weight {
			count += level.length
		}
	}
	return count
}

// competition is what a waiting ticket of a tenant competes with: in the whole service, and
// for the tenant's part of the permits.
type competition struct {
	service, own contention
	// higherPerSecond are the arrivals of higher weights, which are part of both rates of overtakes.
	higherPerSecond float64
}

// forTicket returns the competition that a ticket meets: new requests of its own tenant and weight do
// not overtake a caller that returned when told and can still be in time.
func (c competition) forTicket(ticket *Ticket) competition {
	if ticket.overtakenFrom() == ticket.Weight {
		return c
	}
	c.service.overtakesPerSecond, c.own.overtakesPerSecond = c.higherPerSecond, c.higherPerSecond
	return c
}

// competitionFor returns the competition for tickets of a tenant and weight. Requests of other
// tenants do not overtake in the whole service: a tenant that is granted permits in proportion
// to its share competes with them only by the rate of its own permits.
func (q *Queue) competitionFor(now time.Time, account *fairshare.Account, weight int, serviceInterval time.Duration) competition {
	releases := q.contentionFor(now, weight, serviceInterval).releasesPerSecond
	higher := 0.0
	for arrivalWeight, arrivals := range q.arrivals {
		if arrivalWeight > weight {
			higher += arrivals.PerSecond(now)
		}
	}
	overtakes := higher + account.ArrivalsPerSecond(now)
	permits := account.PermitRate(now, max(releases-higher, 0))
	return competition{
		service: contention{releasesPerSecond: releases, overtakesPerSecond: overtakes},
		own:     contention{releasesPerSecond: min(releases, permits+higher), overtakesPerSecond: overtakes},

		higherPerSecond: higher,
	}
}

// within returns for how long a permit is useful to a ticket of an account. A request that will
// miss its objective still waits for an answer by its deadline if its tenant is within its
// share and others are not: these may have made all answers slow, as they do where daemons
// decide by themselves and requests queue at the back ends.
func (t *Ticket) within(now time.Time, account *fairshare.Account) time.Duration {
	until := t.usefulUntil()
	if !until.After(now) && account.OnlyOthersOverShare() {
		until = t.AnswerableUntil
		if until.IsZero() {
			until = t.Deadline
		}
	}
	return until.Sub(now)
}

// worthWaiting reports whether a request should wait that can use a permit for this long.
// position is the number of tickets that are granted a permit before it, and ahead the number
// of those of its own tenant and of higher weights.
func (c competition) worthWaiting(position, ahead int, within time.Duration) bool {
	if within <= 0 {
		return false
	}
	return position < minWaiting || c.service.worthWaiting(position, within) && c.own.grantProbability(ahead, within) >= minGrantProbability
}

// offerByTenant is Offer while capacity is divided between tenants. A full queue displaces the
// last ticket of the tenant that is furthest ahead of its share.
func (q *Queue) offerByTenant(now time.Time, ticket *Ticket, serviceInterval time.Duration) (verdict Verdict, displaced *Ticket) {
	t := q.tenants
	t.observe(now)
	account := t.account(now, ticket)
	level := t.level(ticket.Weight)
	tag, ownAhead, ownWaiting := account.StartTag(), 0, 0
	if waiting := level.find(ticket.Tenant); waiting != nil {
		tag, ownAhead, ownWaiting = waiting.tag, waiting.tickets.countAhead(ticket), len(waiting.tickets)
	}
	ahead := t.countHigher(ticket.Weight) + ownAhead
	position := ahead + level.countOthersBefore(ticket.Tenant, account.TagAfter(tag, ownAhead))
	competition := q.competitionFor(now, account, ticket.Weight, serviceInterval) // updates whether the tenant exceeds its share
	if !competition.forTicket(ticket).worthWaiting(position, ahead, ticket.within(now, account)) {
		account.Refuse(now)
		return TooLate, nil
	}
	if t.length >= q.limit {
		displaced = t.displaceable(ticket, account.TagAfter(tag, ownWaiting))
		if displaced == nil {
			account.Refuse(now)
			return Full, nil
		}
	}
	q.saturation.recordWaiting(now)
	t.push(ticket, account)
	if displaced != nil { // after the push, so that a tenant which displaces its own ticket keeps its turn
		displaced.tenant.account.Refuse(now)
		q.remove(displaced)
	}
	t.observe(now)
	q.trackLate(ticket)
	q.counts[ticket.Weight]++
	return Queued, displaced
}

// countOthersBefore estimates how many tickets of other tenants are granted a permit before one
// with the given start tag.
func (l *weightLevel) countOthersBefore(tenant string, tag float64) int {
	if l == nil {
		return 0
	}
	count := 0
	for _, waiting := range l.tenants {
		if waiting.account.Tenant != tenant {
			count += waiting.account.CountBefore(waiting.tag, len(waiting.tickets), tag)
		}
	}
	return count
}

// displaceable returns the ticket that gives way to one whose tenant's last ticket would have
// this start tag: the last one of the tenant whose last ticket has the largest start tag, among
// those of the lowest weight. It returns nil if none gives way.
func (t *tenantQueues) displaceable(ticket *Ticket, tag float64) *Ticket {
	if len(t.levels) == 0 {
		return nil
	}
	lowest := t.levels[len(t.levels)-1]
	if lowest.weight > ticket.Weight {
		return nil
	}
	var furthest *tenantQueue
	furthestTag := 0.0
	for _, waiting := range lowest.tenants {
		if last := waiting.account.TagAfter(waiting.tag, len(waiting.tickets)-1); furthest == nil || last > furthestTag {
			furthest, furthestTag = waiting, last
		}
	}
	if lowest.weight == ticket.Weight && (furthest.account.Tenant == ticket.Tenant || furthestTag <= tag) {
		return lowest.displaceableOwn(ticket)
	}
	return slices.MaxFunc(furthest.tickets, compare)
}

// displaceableOwn returns the ticket of the same tenant that gives way to a new one, or nil if there
// is none.
func (l *weightLevel) displaceableOwn(ticket *Ticket) *Ticket {
	waiting := l.find(ticket.Tenant)
	if waiting == nil || !ticket.mayDisplace() {
		return nil
	}
	if last := slices.MaxFunc(waiting.tickets, compare); ticket.displaces(last) {
		return last
	}
	return nil
}

// cursor is the position of Shed in the tickets of a tenant.
type cursor struct {
	*tenantQueue
	tickets     []*Ticket // not tested yet, in order
	tag         float64
	kept        int
	competition competition
}

// shedByTenant is Shed while capacity is divided between tenants. It tests the tickets in the
// order in which they would be granted permits.
func (q *Queue) shedByTenant(now time.Time, serviceInterval time.Duration) []*Ticket {
	t := q.tenants
	t.accrue(now)
	var shed []*Ticket
	kept := 0
	for _, level := range t.levels {
		higher := kept
		t.cursors, q.scratch = t.cursors[:0], q.scratch[:0]
		for _, waiting := range level.tenants {
			first := len(q.scratch)
			q.scratch = append(q.scratch, waiting.tickets...)
			tickets := q.scratch[first:len(q.scratch):len(q.scratch)]
			slices.SortFunc(tickets, compare)
			t.cursors = append(t.cursors, cursor{
				tenantQueue: waiting, tickets: tickets, tag: waiting.tag,
				competition: q.competitionFor(now, waiting.account, level.weight, serviceInterval),
			})
		}
		heap.Init(&t.cursors)
		for len(t.cursors) > 0 {
			next := &t.cursors[0]
			ticket := next.tickets[0]
			next.tickets = next.tickets[1:]
			if next.competition.forTicket(ticket).worthWaiting(kept, higher+next.kept, ticket.within(now, next.account)) {
				kept++
				next.kept++
				next.tag = next.account.TagAfter(next.tenantQueue.tag, next.kept)
			} else {
				shed = append(shed, ticket)
			}
			if len(next.tickets) == 0 {
				heap.Pop(&t.cursors)
			} else {
				heap.Fix(&t.cursors, 0)
			}
		}
	}
	for _, ticket := range shed {
		ticket.tenant.account.Refuse(now)
		q.remove(ticket)
	}
	t.observe(now)
	return shed
}

// accrue charges what permits in flight have used and updates the order of the tenants.
func (t *tenantQueues) accrue(now time.Time) {
	t.observe(now)
	t.ledger.Accrue(now)
	for _, level := range t.levels {
		for _, waiting := range level.tenants {
			waiting.retag()
		}
		heap.Init(&level.tenants)
	}
}

// EstimateTenantWait estimates how long a new ticket of this tenant and weight would wait,
// which is until the tickets of higher weights and those of the tenant have been served.
func (q *Queue) EstimateTenantWait(now time.Time, weight int, tenant string, share float64, serviceInterval time.Duration) time.Duration {
	t := q.tenants
	if t == nil {
		return q.EstimateWait(now, weight, serviceInterval)
	}
	ahead := t.countHigher(weight)
	if waiting := t.level(weight).find(tenant); waiting != nil {
		ahead += len(waiting.tickets)
	}
	account := t.ledger.Book(weight).Account(now, tenant, share)
	permits := q.competitionFor(now, account, weight, serviceInterval).own.releasesPerSecond
	if permits == 0 {
		return time.Duration(ahead) * serviceInterval
	}
	return time.Duration(float64(ahead) / permits * float64(time.Second))
}

// tenantHeap implements heap.Interface.
type tenantHeap []*tenantQueue

// compareTenants orders waiting tenants by their start tags.
func compareTenants(a, b *tenantQueue) int {
	if order := cmp.Compare(a.tag, b.tag); order != 0 {
		return order
	}
	return cmp.Compare(a.sequence, b.sequence)
}

func (h tenantHeap) Len() int           { return len(h) }
func (h tenantHeap) Less(i, j int) bool { return compareTenants(h[i], h[j]) < 0 }

func (h tenantHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *tenantHeap) Push(x any) {
	waiting := x.(*tenantQueue)
	waiting.index = len(*h)
	*h = append(*h, waiting)
}

// Pop implements heap.Interface.
func (h *tenantHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// cursorHeap implements heap.Interface.
type cursorHeap []cursor

func (h cursorHeap) Len() int      { return len(h) }
func (h cursorHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h cursorHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].sequence < h[j].sequence
}

// Push implements heap.Interface.
func (h *cursorHeap) Push(x any) {
	*h = append(*h, x.(cursor))
}

// Pop implements heap.Interface.
func (h *cursorHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = cursor{}
	*h = old[:len(old)-1]
	return last
}
