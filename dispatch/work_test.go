package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// learned returns a core with so many back ends of one slot, at which requests of a class
// took 80 to 120 ms.
func learned(backends int) *Core {
	group := routing.NewGroup(routing.Options{
		Picker: routing.LeastLoad{}, Random: rand.New(rand.NewPCG(1, 1)), Overcommit: routing.DefaultOvercommit,
	})
	var list []routing.Backend
	for number := range backends {
		list = append(list, routing.Backend{ID: string(rune('a' + number)), Slots: 1, Window: 1, Warm: true})
	}
	group.SetBackends(epoch, list)
	core := &Core{Group: group, Queue: admission.NewQueue(100)}
	for number := range workMemory {
		core.work.learn("read", 80*time.Millisecond+time.Duration(number*40/workMemory)*time.Millisecond)
	}
	return core
}

// reading is a request whose caller first asked so long ago.
func reading(ago time.Duration) Request {
	firstTry := epoch.Add(-ago)
	return Request{Weight: 1, Class: "read", FirstTry: firstTry, Objective: 400 * time.Millisecond, Deadline: firstTry.Add(time.Second)}
}

// TestUnservableIsRefusedAtOnce refuses a request that no back end could answer before its
// deadline, though places are free.
func TestUnservableIsRefusedAtOnce(t *testing.T) {
	core := learned(2)
	require.Equal(t, resultcode.DeadlineTooShort, core.Offer(epoch, reading(930*time.Millisecond), nil).Refused)
	require.NotNil(t, core.Offer(epoch, reading(900*time.Millisecond), nil).Place, "100 ms are left for 80")
}

// TestLateTakesFreePlacesOnly lets a request that is late already have a free place, and
// wait for none.
func TestLateTakesFreePlacesOnly(t *testing.T) {
	core := learned(1)
	require.NotNil(t, core.Offer(epoch, reading(500*time.Millisecond), nil).Place)
	decision := core.Offer(epoch, reading(500*time.Millisecond), nil)
	require.Equal(t, resultcode.DeadlineTooShort, decision.Refused)
	require.NotNil(t, core.Offer(epoch, reading(0), nil).Ticket, "one that can be in time waits")
}

// TestSpareDoesNotWait gives a second attempt a free place only, and does not count it
// among those that others compete with.
func TestSpareDoesNotWait(t *testing.T) {
	core := learned(1)
	spare := reading(0)
	spare.NoWait = true
	require.NotNil(t, core.Offer(epoch, spare, nil).Place)
	require.Equal(t, resultcode.WaitExpired, core.Offer(epoch, spare, nil).Refused)
	require.Zero(t, core.Queue.Len())
}

// TestWaitingEndsWhenLate takes out a request that waits as soon as an answer would
// commonly be too late for it, and says when to come back.
func TestWaitingEndsWhenLate(t *testing.T) {
	core := learned(1)
	core.Offer(epoch, reading(0), nil)
	require.NotNil(t, core.Offer(epoch, reading(0), "waits").Ticket)
	require.Empty(t, core.Shed(epoch.Add(290*time.Millisecond)))
	late := epoch.Add(310 * time.Millisecond)
	hopeless := core.Shed(late)
	require.Len(t, hopeless, 1)
	require.Equal(t, "waits", hopeless[0].Payload)
	require.GreaterOrEqual(t, core.Refusal(late, hopeless[0].Request, resultcode.DeadlineTooShort).RetryAfter, leastComeBack)
}

// TestHedgeAfter makes a second attempt when a request is slower than most of its class,
// later while most back ends are full, never when an answer could not be in time.
func TestHedgeAfter(t *testing.T) {
	known := learned(1).work.of("read")
	calm := known.hedgeAfter(epoch, reading(0), false)
	require.Greater(t, calm, 110*time.Millisecond)
	require.Greater(t, known.hedgeAfter(epoch, reading(0), true), calm)
	require.Equal(t, 110*time.Millisecond, known.hedgeAfter(epoch, reading(190*time.Millisecond), false).Round(10*time.Millisecond), "sooner for one that has waited")
	require.Zero(t, known.hedgeAfter(epoch, reading(260*time.Millisecond), false), "too late")
	require.Zero(t, new(latencies).hedgeAfter(epoch, reading(0), false), "nothing is known")
	unhurried := reading(0)
	unhurried.Objective = 0
	require.Zero(t, known.hedgeAfter(epoch, unhurried, false), "nothing to be in time for")
}

// TestWithoutClassNothingIsKnown refuses no request of no class for what others take.
func TestWithoutClassNothingIsKnown(t *testing.T) {
	core := learned(1)
	core.work.learn("", time.Hour)
	unnamed := reading(0)
	unnamed.Class, unnamed.Deadline = "", epoch.Add(time.Millisecond)
	require.NotNil(t, core.Offer(epoch, unnamed, nil).Place)
}

// TestClassesAreForgottenNotPiledUp bounds what is remembered of classes.
func TestClassesAreForgottenNotPiledUp(t *testing.T) {
	var known work
	for number := range 3 * maxClasses {
		known.learn(string(rune(number)), time.Second)
	}
	require.LessOrEqual(t, len(known.byClass), maxClasses)
}
