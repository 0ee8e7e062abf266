package routing

import (
	"fmt"
	"testing"
	"time"
)

// benchSizes are numbers of back ends of a service, up to more than the fleet is designed for.
var benchSizes = []int{10, 100, 415, 1000}

// benchZones is the number of zones of the back ends and daemons.
const benchZones = 6

// newBenchGroup returns a group whose back ends have all reported their load.
func newBenchGroup(count int) *Group {
	var backends []Backend
	for number := range count {
		backends = append(backends, Backend{ID: fmt.Sprint(number), Zone: zoneOf(number), Slots: 6, Window: 6, Warm: true})
	}
	group := newTestGroup(backends...)
	for number, state := range group.states {
		group.RecordReport(state, reportOf(number), false, start)
	}
	return group
}

// reportOf is the load report of a back end; one in ten is disturbed.
func reportOf(number int) Report {
	report := Report{InFlight: 1, Slowdown: 1 + float64(number%97)/500}
	if number%10 == 0 {
		report.Slowdown *= 3
	}
	return report
}

func zoneOf(number int) string {
	return fmt.Sprint("zone ", number%benchZones)
}

// requestFrom is the request of a daemon in one of the zones.
func requestFrom(number int) Request {
	return Request{Zone: zoneOf(number), Repeatable: number%2 == 0}
}

// BenchmarkPickAndFinish measures the cost of a request for its dispatcher, with back ends that
// report their load.
func BenchmarkPickAndFinish(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("%d back ends", count), func(b *testing.B) {
			group, now, number := newBenchGroup(count), start, 0
			var held []PickResult
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				number++
				if picked, ok := group.Pick(now, requestFrom(number)); ok {
					held = append(held, picked)
				}
				if len(held) > 2*count {
					group.RecordReport(held[0].Backend, reportOf(number), false, now)
					group.Done(held[0], now, Success, serviceTime)
					held = held[1:]
				}
			}
		})
	}
}

// BenchmarkNoPlace measures the cost of looking for a back end while all are full, as is done for
// the first waiting request whenever anything changes.
func BenchmarkNoPlace(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("%d back ends", count), func(b *testing.B) {
			group := newBenchGroup(count)
			for ok := true; ok; {
				_, ok = group.Pick(start, requestFrom(0))
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := group.Pick(start, requestFrom(1)); ok {
					b.Fatal("a back end had free capacity")
				}
			}
		})
	}
}

// BenchmarkStaleTarget measures the cost of finding the target of a load probe, with requests from
// every zone.
func BenchmarkStaleTarget(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("%d back ends", count), func(b *testing.B) {
			group, now, asked := newBenchGroup(count), start, 0
			for number := range 2 * benchZones {
				group.Pick(now, requestFrom(number))
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				group.probeCredit = maxProbeCredit
				if target, wanted := group.LoadProbeTarget(now, 25*time.Millisecond, 0); wanted {
					asked++
					group.RecordLoadProbe(now, target, reportOf(asked))
				}
			}
		})
	}
}
