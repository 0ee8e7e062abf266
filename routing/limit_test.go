package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backendlimit"
)

func limitOf(perSecond float64) backendlimit.Limit {
	return backendlimit.Limit{Limited: true, PerSecond: perSecond}
}

// countPicks picks a back end every 5 ms for a duration and ends each request at once. It returns
// how many requests a back end got, in all and at most in any second.
func countPicks(group *Group, id string, duration time.Duration, request Request) (total, maxPerSecond int) {
	var sent []time.Time
	for now := start; now.Before(start.Add(duration)); now = now.Add(5 * time.Millisecond) {
		picked, ok := group.Pick(now, request)
		if !ok {
			continue
		}
		group.Done(picked, now, Success, serviceTime)
		if picked.Backend.ID != id {
			continue
		}
		total++
		sent = append(sent, now)
		for now.Sub(sent[0]) >= time.Second {
			sent = sent[1:]
		}
		maxPerSecond = max(maxPerSecond, len(sent))
	}
	return total, maxPerSecond
}

// A limited back end gets nearly as many requests as its limit permits and never more, whatever the
// reason for which it is chosen.
func TestRequestLimitIsUsedButNotExceeded(t *testing.T) {
	const seconds = 60
	limited := Backend{ID: "limited", Slots: 2, Warm: true}
	other := Backend{ID: "other", Slots: 2, Warm: true}
	for name, test := range map[string]struct {
		backends []Backend
		request  Request
		prepare  func(group *Group)
	}{
		"one of two back ends":    {backends: []Backend{other, limited}},
		"only back end":           {backends: []Backend{limited}},
		"retry":                   {backends: []Backend{other, limited}, request: Request{Tried: []string{"other"}, Repeatable: true}},
		"session bound to it":     {backends: []Backend{limited}, request: Request{Session: "a"}},
		"first request":           {backends: []Backend{other, limited}, prepare: func(group *Group) { group.State("limited").used = false }},
		"trial after an ejection": {backends: []Backend{limited}, request: Request{Repeatable: true}, prepare: func(group *Group) { group.State("limited").health.RecordExit(start) }},
		"declared window": {
			backends: []Backend{other, {ID: "limited", Slots: 2, Window: 2, Warm: true}},
		},
	} {
		for _, limit := range []float64{12.5, 2.5, 0.3} {
			t.Run(fmt.Sprintf("%s, %g a second", name, limit), func(t *testing.T) {
				group := newSlowStartGroup(1, test.backends...)
				if test.prepare != nil {
					test.prepare(group)
				}
				group.SetLimit(start, "limited", limitOf(limit))
				total, maxPerSecond := countPicks(group, "limited", seconds*time.Second, test.request)
				require.LessOrEqual(t, total, int(limit*seconds))
				require.GreaterOrEqual(t, total, int(0.9*limit*seconds)-1)
				require.LessOrEqual(t, maxPerSecond, int(limit)+1)
			})
		}
	}
}

// A back end whose limit is close to zero gets a request every 5 s, because only a response shows
// that the limit has ended.
func TestLimitNearZeroStillGetsRequests(t *testing.T) {
	for _, limit := range []float64{0, 1e-300, 0.1} {
		group := newSlowStartGroup(1, Backend{ID: "limited", Slots: 2, Warm: true})
		group.SetLimit(start, "limited", limitOf(limit))
		total, maxPerSecond := countPicks(group, "limited", 61*time.Second, Request{})
		require.Equal(t, 12, total, "%g a second", limit)
		require.Equal(t, 1, maxPerSecond)
	}
}

// A limit above the load has no effect.
func TestLimitAboveLoadHasNoEffect(t *testing.T) {
	group := newSlowStartGroup(1, Backend{ID: "limited", Slots: 2, Warm: true})
	unlimited, _ := countPicks(group, "limited", time.Second, Request{})
	group.SetLimit(start, "limited", limitOf(1e300))
	limited, _ := countPicks(group, "limited", time.Second, Request{})
	require.Equal(t, unlimited, limited)
}

// Independent daemons that send to a limited back end together keep its limit, and so do a
// dispatcher and the daemons that cannot reach it.
func TestDaemonsTogetherKeepRequestLimit(t *testing.T) {
	const daemons, limit, seconds = 18, 3.2, 60
	for name, shareOf := range map[string]func(daemon int) float64{
		"independent daemons": func(int) float64 { return 1.0 / daemons },
		"a dispatcher and daemons that cannot reach it": func(daemon int) float64 {
			if daemon == 0 {
				return 0.97
			}
			return 0.03 / daemons
		},
	} {
		t.Run(name, func(t *testing.T) {
			total := 0
			perSecond := make(map[int]int)
			for daemon := range daemons {
				group := newSlowStartGroup(uint64(daemon), Backend{ID: "limited", Slots: 2, Warm: true})
				group.SetLimit(start, "limited", limitOf(limit))
				for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(10 * time.Millisecond) {
					if picked, ok := group.Pick(now, Request{IndependentDaemons: daemons, LimitShare: Share{Fraction: shareOf(daemon)}}); ok {
						group.Done(picked, now, Success, serviceTime)
						total++
						perSecond[int(now.Sub(start)/time.Second)]++
					}
				}
			}
			t.Logf("%d of %.0f permitted requests sent", total, limit*seconds)
			require.LessOrEqual(t, float64(total), limit*seconds*1.05)
			require.GreaterOrEqual(t, float64(total), limit*seconds*0.85)
			for second, count := range perSecond {
				require.LessOrEqual(t, float64(count), 2*limit+1, "second %d", second)
			}
		})
	}
}

// A back end whose limit has ended gets one request at first and one more with each response.
// Otherwise all waiting requests would be sent to it at once.
func TestSlowStartAfterLimitEnds(t *testing.T) {
	group := newSlowStartGroup(1, Backend{ID: "limited", Slots: 8, Warm: true})
	group.SetLimit(start, "limited", limitOf(0.5))
	group.SetLimit(start, "limited", backendlimit.Limit{})
	first, ok := group.Pick(start, Request{})
	require.True(t, ok)
	_, ok = group.Pick(start, Request{})
	require.False(t, ok, "slow start begins with one request")
	group.Done(first, start, Success, serviceTime)
	for range 2 {
		_, ok = group.Pick(start, Request{})
		require.True(t, ok)
	}
	_, ok = group.Pick(start, Request{})
	require.False(t, ok)
}

// The limit that a back end announced does not apply after its restart.
func TestRestartEndsLimit(t *testing.T) {
	backend := Backend{ID: "limited", Slots: 2, Warm: true, Started: 1, Limit: limitOf(0.5)}
	group := newSlowStartGroup(1, backend)
	require.NotNil(t, group.State("limited").Limit(start))
	backend.Started, backend.Limit = 2, backendlimit.Limit{}
	group.SetBackends(start, []Backend{backend})
	require.Nil(t, group.State("limited").Limit(start))
}

// The expected service interval accounts for limits, so that requests that cannot be served in time
// are refused at once.
func TestServiceIntervalOfLimitedBackends(t *testing.T) {
	group := newSlowStartGroup(1, Backend{ID: "a", Slots: 2, Warm: true}, Backend{ID: "b", Slots: 2, Warm: true})
	group.SetLimit(start, "a", limitOf(2))
	group.SetLimit(start, "b", limitOf(3))
	require.Equal(t, 200*time.Millisecond, group.ServiceInterval(start))
	require.Equal(t, "2 of 2 "+PhraseLimited, group.RestrictionSummary(start))
}

// Probes count against the limit of a back end: it gets no load probes, and a health probe only
// when a request could be sent.
func TestProbesCountAgainstRequestLimit(t *testing.T) {
	group := newSlowStartGroup(1, Backend{ID: "a", Slots: 2, Warm: true})
	picked, ok := group.Pick(start, Request{})
	require.True(t, ok)
	group.Done(picked, start, Success, serviceTime)
	group.SetLimit(start, "a", limitOf(0.5))
	_, wanted := group.LoadProbeTarget(start.Add(time.Minute), 25*time.Millisecond, 0)
	require.False(t, wanted)
	_, wanted = group.HealthProbeTarget(start.Add(time.Second), 100*time.Millisecond)
	require.False(t, wanted)
	_, wanted = group.HealthProbeTarget(start.Add(2*time.Second), 100*time.Millisecond)
	require.True(t, wanted)
	group.RecordHealthProbeStart(start.Add(2*time.Second), "a")
	_, ok = group.Pick(start.Add(3*time.Second), Request{})
	require.False(t, ok, "the probe counts against the limit")
	_, ok = group.Pick(start.Add(4*time.Second), Request{})
	require.True(t, ok)
}

// A limited back end counts neither as failing nor as silent nor as cold, although it gets few
// requests.
func TestLimitedBackendIsNotEjected(t *testing.T) {
	group := newSlowStartGroup(1, Backend{ID: "limited", Slots: 2, Warm: true}, Backend{ID: "other", Slots: 2, Warm: true})
	group.SetLimit(start, "limited", limitOf(0.5))
	countPicks(group, "limited", 30*time.Second, Request{})
	state := group.State("limited")
	now := start.Add(30 * time.Second)
	require.False(t, state.Ejected(now))
	require.False(t, state.Cold(now))
	require.Zero(t, state.silence(now))
}

// After a partition other daemons may have sent requests to a limited back end independently. It
// gets neither requests nor probes from this daemon for one interval, and as many as before after
// that.
func TestLimitedBackendGetsNothingForIntervalAfterPartition(t *testing.T) {
	const limit = 0.8
	group := newSlowStartGroup(1, Backend{ID: "limited", Slots: 2, Warm: true})
	group.SetLimit(start, "limited", limitOf(limit))
	_, sent := group.Pick(start.Add(2*time.Second), Request{})
	require.True(t, sent)
	rejoined := start.Add(6 * time.Second)
	request := Request{Session: "a", LimitShare: Share{Fraction: 1, Since: rejoined}}
	for now := rejoined; now.Sub(rejoined) < sendInterval(limit); now = now.Add(50 * time.Millisecond) {
		_, sent := group.Pick(now, request)
		require.False(t, sent)
		_, wanted := group.HealthProbeTarget(now, time.Second)
		require.False(t, wanted)
	}
	next, bound := group.SessionBlockedUntil(start, request)
	require.True(t, bound)
	require.Equal(t, rejoined.Add(sendInterval(limit)), next)
	_, sent = group.Pick(next, request)
	require.True(t, sent)
}
