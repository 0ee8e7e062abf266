package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/routing"
)

// repeatableRead returns a repeatable read request that its caller first sent this long ago.
func repeatableRead(age time.Duration) Request {
	request := readRequest(age)
	request.Routing.Repeatable = true
	return request
}

// mustOffer offers a request that must get a permit at once, and returns the permit.
func mustOffer(t *testing.T, core *Core, now time.Time, request Request) *Permit {
	t.Helper()
	decision := core.Offer(now, request, nil)
	require.NotNil(t, decision.Permit)
	return decision.Permit
}

// reportUndisturbed records enough load reports of an undisturbed back end to learn its slowdown.
func reportUndisturbed(core *Core, id string) {
	for range 100 {
		core.RecordLoadProbe(epoch, id, routing.Report{Slowdown: 1})
	}
}

// TestArrivalProbeReportsDisturbedRequestOnce checks that a back end is probed as soon as a
// followed request has reached it, and that a request which met a disturbed back end is reported
// once.
func TestArrivalProbeReportsDisturbedRequestOnce(t *testing.T) {
	core := newTrainedCore(1)
	reportUndisturbed(core, "a")
	permit := mustOffer(t, core, epoch, repeatableRead(0))
	require.True(t, permit.Followed)
	_, wanted := core.Group.LoadProbeTarget(epoch.Add(time.Millisecond), time.Second, 0)
	require.False(t, wanted, "the request has not arrived yet")
	reached := epoch.Add(5 * time.Millisecond)
	id, wanted := core.Group.LoadProbeTarget(reached, time.Second, 0)
	require.True(t, wanted)
	require.Equal(t, "a", id)
	require.Equal(t, []*Permit{permit}, core.RecordLoadProbe(reached, id, routing.Report{Slowdown: 5}))
	require.Empty(t, core.RecordLoadProbe(reached, id, routing.Report{Slowdown: 5}), "the request is reported once")
}

// TestUnaffectedRequestIsNotReportedDisturbed checks that a request is not reported if its back end
// is not disturbed, if it has ended, or if it began long before the disturbance was reported.
func TestUnaffectedRequestIsNotReportedDisturbed(t *testing.T) {
	core := newTrainedCore(1)
	reportUndisturbed(core, "a")
	mustOffer(t, core, epoch, repeatableRead(0))
	require.Empty(t, core.RecordLoadProbe(epoch.Add(5*time.Millisecond), "a", routing.Report{Slowdown: 1.1}), "the back end is not disturbed")
	require.Empty(t, core.RecordLoadProbe(epoch.Add(disturbanceWindow+time.Millisecond), "a", routing.Report{Slowdown: 5}), "the disturbance may have begun after the request")

	core = newTrainedCore(1)
	reportUndisturbed(core, "a")
	permit := mustOffer(t, core, epoch, repeatableRead(0))
	core.Done(epoch.Add(time.Millisecond), permit, routing.Success, time.Millisecond)
	require.Empty(t, core.RecordLoadProbe(epoch.Add(5*time.Millisecond), "a", routing.Report{Slowdown: 5}), "the request has ended")
}

// TestNoArrivalProbeWithoutSlowdownReports checks that a back end whose service does not report
// slowdowns is not probed when a request arrives.
func TestNoArrivalProbeWithoutSlowdownReports(t *testing.T) {
	core := newTrainedCore(1)
	core.RecordLoadProbe(epoch, "a", routing.Report{InFlight: 1})
	mustOffer(t, core, epoch, repeatableRead(0))
	_, wanted := core.Group.LoadProbeTarget(epoch.Add(5*time.Millisecond), time.Second, 0)
	require.False(t, wanted)
}

// TestOnlyHedgeableRequestsAreFollowed checks that only repeatable first attempts for which a hedge
// could be in time are followed.
func TestOnlyHedgeableRequestsAreFollowed(t *testing.T) {
	core := newTrainedCore(4)
	require.False(t, mustOffer(t, core, epoch, readRequest(0)).Followed, "the request is not repeatable")
	retried := repeatableRead(0)
	retried.Routing.Tried = []string{"b"}
	require.False(t, mustOffer(t, core, epoch, retried).Followed, "the request is a second attempt")
	require.False(t, mustOffer(t, core, epoch, repeatableRead(300*time.Millisecond)).Followed, "a hedge would be late")
	unknown := repeatableRead(0)
	unknown.Class = "other"
	require.False(t, mustOffer(t, core, epoch, unknown).Followed, "the latencies of the class are unknown")
}
