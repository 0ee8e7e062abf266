package routing

import (
	"fmt"
	"testing"
	"time"
)

// benchSizes are numbers of back ends of a service, up to more than the fleet is
// designed for.
var benchSizes = []int{10, 100, 415, 1000}

// benchZones is in how many zones the back ends and the daemons stand.
const benchZones = 6

// benchGroup returns back ends that have all told their load.
func benchGroup(count int) *Group {
	var backends []Backend
	for number := range count {
		backends = append(backends, Backend{ID: fmt.Sprint(number), Zone: benchZone(number), Slots: 6, Window: 6, Warm: true})
	}
	group := newTestGroup(backends...)
	for number, state := range group.states {
		group.RecordReport(state, benchReport(number), false, start)
	}
	return group
}

// benchReport is what a back end tells: a tenth of them is disturbed.
func benchReport(number int) Report {
	report := Report{InFlight: 1, Slowdown: 1 + float64(number%97)/500}
	if number%10 == 0 {
		report.Slowdown *= 3
	}
	return report
}

func benchZone(number int) string {
	return fmt.Sprint("zone ", number%benchZones)
}

// benchRequest is the request of a daemon in one of the zones.
func benchRequest(number int) Request {
	return Request{Zone: benchZone(number), Repeatable: number%2 == 0}
}

// BenchmarkPickAndFinish is what a request costs its dispatcher, with back ends that tell
// their load.
func BenchmarkPickAndFinish(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("%d back ends", count), func(b *testing.B) {
			group, now, number := benchGroup(count), start, 0
			var held []PickResult
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				number++
				if picked, ok := group.Pick(now, benchRequest(number)); ok {
					held = append(held, picked)
				}
				if len(held) > 2*count {
					group.RecordReport(held[0].Backend, benchReport(number), false, now)
					group.Done(held[0], now, Success, work)
					held = held[1:]
				}
			}
		})
	}
}

// BenchmarkNoPlace is what looking for a place costs while every back end is full, as
// it is done for the first of those who wait whenever anything changes.
func BenchmarkNoPlace(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("%d back ends", count), func(b *testing.B) {
			group := benchGroup(count)
			for ok := true; ok; {
				_, ok = group.Pick(start, benchRequest(0))
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := group.Pick(start, benchRequest(1)); ok {
					b.Fatal("a place was free")
				}
			}
		})
	}
}

// BenchmarkStaleTarget is what it costs to look for a back end worth a probe, with
// requests from every zone.
func BenchmarkStaleTarget(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("%d back ends", count), func(b *testing.B) {
			group, now, asked := benchGroup(count), start, 0
			for number := range 2 * benchZones {
				group.Pick(now, benchRequest(number))
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				group.probeCredit = maxProbeCredit
				if target, wanted := group.LoadProbeTarget(now, 25*time.Millisecond, 0); wanted {
					asked++
					group.RecordLoadProbe(now, target, benchReport(asked))
				}
			}
		})
	}
}
