package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against sending a request to a back end that it is excluded from, whatever the reason for
// which a back end is chosen.
func TestExcludedBackendsAreNotPicked(t *testing.T) {
	excluded := Backend{ID: "excluded", Slots: 2, Warm: true}
	other := Backend{ID: "other", Slots: 2, Warm: true}
	for name, test := range map[string]struct {
		backends []Backend
		request  Request
		prepare  func(group *Group)
	}{
		"one of two back ends": {backends: []Backend{other, excluded}},
		"only back end":        {backends: []Backend{excluded}},
		"retry":                {backends: []Backend{other, excluded}, request: Request{Tried: []string{"other"}, Repeatable: true}},
		"session bound to it":  {backends: []Backend{excluded}, request: Request{Session: "a"}},
		"first request":        {backends: []Backend{other, excluded}, prepare: func(group *Group) { group.State("excluded").used = false }},
		"trial due": {backends: []Backend{excluded}, request: Request{Repeatable: true}, prepare: func(group *Group) {
			group.State("excluded").health.RecordExit(start)
		}},
		"both have failed": {backends: []Backend{other, excluded}, prepare: func(group *Group) {
			for _, state := range group.States() {
				for range 5 {
					state.health.RecordFailure(start)
				}
			}
		}},
		"in another region": {backends: []Backend{{ID: "excluded", Slots: 2, Warm: true, OtherRegion: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			group := newSlowStartGroup(1, test.backends...)
			if test.prepare != nil {
				test.prepare(group)
			}
			const duration = 10 * time.Second
			request := test.request
			request.Excluded = []Exclusion{{Backend: "excluded", Until: start.Add(duration)}, {Backend: "not known"}}
			total, _ := countPicks(group, "excluded", duration, request)
			require.Zero(t, total)
			if picked, ok := group.PickCanary(start, request, "", 0); ok {
				require.NotEqual(t, "excluded", picked.Backend.ID)
				group.Done(picked, start, Success, serviceTime)
			}
			request.Excluded = nil
			total, _ = countPicks(group, "excluded", 15*time.Second, request)
			require.Positive(t, total, "requests without the exclusion get the back end")
		})
	}
}

// A request can be sent to the back end once its exclusion has ended.
func TestExpiredExclusionPermitsRequest(t *testing.T) {
	group := newSlowStartGroup(1, Backend{ID: "a", Slots: 2, Warm: true})
	request := Request{Excluded: []Exclusion{{Backend: "a", Until: start.Add(time.Second)}}}
	_, picked := group.Pick(start, request)
	require.False(t, picked)
	until, all := group.AllExcluded(start, request)
	require.True(t, all)
	require.Equal(t, start.Add(time.Second), until)
	_, picked = group.Pick(start.Add(time.Second), request)
	require.True(t, picked)
	_, all = group.AllExcluded(start.Add(time.Second), request)
	require.False(t, all)
}

// AllExcluded returns the earliest end of the exclusions from back ends that take requests;
// draining ones do not count.
func TestAllExcludedReturnsEarliestEnd(t *testing.T) {
	group := newSlowStartGroup(1, Backend{ID: "a", Slots: 2}, Backend{ID: "b", Slots: 2}, Backend{ID: "draining", Slots: 2, Drained: true})
	after := func(id string, seconds int) Exclusion {
		return Exclusion{Backend: id, Until: start.Add(time.Duration(seconds) * time.Second)}
	}
	for name, test := range map[string]struct {
		excluded []Exclusion
		all      bool
		until    time.Time
	}{
		"no exclusion":             {},
		"one of two back ends":     {excluded: []Exclusion{after("a", 3)}},
		"both back ends":           {excluded: []Exclusion{after("a", 5), after("b", 3), after("draining", 1)}, all: true, until: start.Add(3 * time.Second)},
		"both, one without an end": {excluded: []Exclusion{{Backend: "a"}, after("b", 3)}, all: true, until: start.Add(3 * time.Second)},
		"both without an end":      {excluded: []Exclusion{{Backend: "a"}, {Backend: "b"}}, all: true},
	} {
		t.Run(name, func(t *testing.T) {
			until, all := group.AllExcluded(start, Request{Excluded: test.excluded})
			require.Equal(t, test.all, all)
			require.Equal(t, test.until, until)
		})
	}
}

// A back end that asked this daemon for a pause gets no probes from it until the pause has ended.
func TestPausedBackendsAreNotProbed(t *testing.T) {
	group := newSlowStartGroup(1, Backend{ID: "a", Slots: 2, Warm: true})
	group.SetPause("a", start.Add(time.Minute))
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		group.probeCredit = maxProbeCredit
		_, wanted := group.HealthProbeTarget(now, time.Second)
		require.False(t, wanted)
		group.earnProbes(origin{zone: "zone"})
		_, wanted = group.LoadProbeTarget(now, time.Millisecond, time.Millisecond)
		require.False(t, wanted)
	}
	_, wanted := group.HealthProbeTarget(start.Add(time.Minute), time.Second)
	require.True(t, wanted)
}

// BenchmarkPickWithExclusions measures the cost of a pick for a request that is excluded from 64 of
// 256 back ends.
func BenchmarkPickWithExclusions(b *testing.B) {
	var backends []Backend
	request := Request{}
	for number := range 256 {
		backends = append(backends, Backend{ID: fmt.Sprint(number), Slots: 3, Warm: true})
		if number%4 == 0 {
			request.Excluded = append(request.Excluded, Exclusion{Backend: fmt.Sprint(number)})
		}
	}
	group := newSlowStartGroup(1, backends...)
	for b.Loop() {
		picked, _ := group.Pick(start, request)
		group.Done(picked, start, Success, serviceTime)
	}
}
