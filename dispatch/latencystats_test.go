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

// newTrainedCore returns a core with back ends of one slot each and learned latencies of 80 to 120
// ms for the class "read".
func newTrainedCore(backends int) *Core {
	group := routing.NewGroup(routing.Options{
		Picker: routing.LeastLoad{}, Random: rand.New(rand.NewPCG(1, 1)), Overcommit: routing.DefaultOvercommit,
	})
	var list []routing.Backend
	for i := range backends {
		list = append(list, routing.Backend{ID: string(rune('a' + i)), Slots: 1, Window: 1, Warm: true})
	}
	group.SetBackends(epoch, list)
	core := &Core{Group: group, Queue: admission.NewQueue(100)}
	for i := range latencySamples {
		core.latencies.record("read", 80*time.Millisecond+time.Duration(i*40/latencySamples)*time.Millisecond)
	}
	return core
}

// readRequest returns a request of the class "read" that its caller first sent this long ago.
func readRequest(age time.Duration) Request {
	firstTry := epoch.Add(-age)
	return Request{Weight: 1, Class: "read", FirstTry: firstTry, Objective: 400 * time.Millisecond, Deadline: firstTry.Add(time.Second)}
}

// TestUnmeetableDeadlineIsRefusedAtOnce checks that a request which no back end could answer before
// its deadline is refused at once, although permits are free.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	core := newTrainedCore(2)
	require.Equal(t, resultcode.DeadlineTooShort, core.Offer(epoch, readRequest(930*time.Millisecond), nil).Refused)
	require.NotNil(t, core.Offer(epoch, readRequest(900*time.Millisecond), nil).Permit, "100 ms are left, and the fastest answers take 80 ms")
}

// TestLateRequestDoesNotWait checks that a request which is already late gets a permit if one is
// free, but does not wait for one.
func TestLateRequestDoesNotWait(t *testing.T) {
	core := newTrainedCore(1)
	require.NotNil(t, core.Offer(epoch, readRequest(500*time.Millisecond), nil).Permit)
	decision := core.Offer(epoch, readRequest(500*time.Millisecond), nil)
	require.Equal(t, resultcode.DeadlineTooShort, decision.Refused)
	require.NotNil(t, core.Offer(epoch, readRequest(0), nil).Ticket, "a request that can be in time must wait")
}

// TestHedgeDoesNotWait checks that a hedge gets a permit only if one is free, and never enters the
// queue.
func TestHedgeDoesNotWait(t *testing.T) {
	core := newTrainedCore(1)
	hedge := readRequest(0)
	hedge.NoWait = true
	require.NotNil(t, core.Offer(epoch, hedge, nil).Permit)
	require.Equal(t, resultcode.WaitExpired, core.Offer(epoch, hedge, nil).Refused)
	require.Zero(t, core.Queue.Len())
}

// TestWaitingRequestIsShedWhenLate checks that a waiting request is shed with a Retry-After as soon
// as its answer would commonly be late.
func TestWaitingRequestIsShedWhenLate(t *testing.T) {
	core := newTrainedCore(1)
	core.Offer(epoch, readRequest(0), nil)
	require.NotNil(t, core.Offer(epoch, readRequest(0), "waits").Ticket)
	require.Empty(t, core.Shed(epoch.Add(290*time.Millisecond)))
	tooLate := epoch.Add(310 * time.Millisecond)
	shed := core.Shed(tooLate)
	require.Len(t, shed, 1)
	require.Equal(t, "waits", shed[0].Payload)
	require.GreaterOrEqual(t, core.Refusal(tooLate, shed[0].Request, resultcode.DeadlineTooShort).RetryAfter, minRetryAfter)
}

// TestHedgeAfter checks that a hedge is sent when a request is slower than most of its class,
// later while most back ends are full, and never when its answer could not be in time.
func TestHedgeAfter(t *testing.T) {
	stats := newTrainedCore(1).latencies.forClass("read")
	normal := stats.hedgeAfter(epoch, readRequest(0), false)
	require.Greater(t, normal, 110*time.Millisecond)
	require.Greater(t, stats.hedgeAfter(epoch, readRequest(0), true), normal)
	require.Equal(t, 110*time.Millisecond, stats.hedgeAfter(epoch, readRequest(190*time.Millisecond), false).Round(10*time.Millisecond), "earlier for a request that has waited")
	require.Zero(t, stats.hedgeAfter(epoch, readRequest(260*time.Millisecond), false), "a hedge would be late")
	require.Zero(t, new(latencyStats).hedgeAfter(epoch, readRequest(0), false), "no latencies are known")
	withoutObjective := readRequest(0)
	withoutObjective.Objective = 0
	require.Zero(t, stats.hedgeAfter(epoch, withoutObjective, false), "the request has no objective")
}

// TestUnclassifiedRequestIgnoresLatencyStats checks that a request without a class is not refused
// because of the latencies of other requests.
func TestUnclassifiedRequestIgnoresLatencyStats(t *testing.T) {
	core := newTrainedCore(1)
	core.latencies.record("", time.Hour)
	unclassified := readRequest(0)
	unclassified.Class, unclassified.Deadline = "", epoch.Add(time.Millisecond)
	require.NotNil(t, core.Offer(epoch, unclassified, nil).Permit)
}

// TestClassCountIsBounded checks that latencies are kept for a bounded number of classes.
func TestClassCountIsBounded(t *testing.T) {
	var stats statsByClass
	for i := range 3 * maxClasses {
		stats.record(string(rune(i)), time.Second)
	}
	require.LessOrEqual(t, len(stats.byClass), maxClasses)
}
