package routing

import (
	"fmt"
	"testing"
	"time"
)

// benchSizes are the numbers of back ends to measure with, up to more than a service is designed to
// have.
var benchSizes = []int{10, 100, 415, 1000}

// benchZones is the number of zones of the back ends and daemons.
const benchZones = 6

// newBenchGroup returns a group whose back ends have all reported their load.
func newBenchGroup(count int) *Group {
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

// benchReport returns the load report of a back end; one in ten is disturbed.
func benchReport(number int) Report {
	report := Report{InFlight: 1, Slowdown: 1 + float64(number%97)/500}
	if number%10 == 0 {
		report.Slowdown *= 3
	}
	return report
}

// benchZone returns the zone of the back end or daemon with a number.
func benchZone(number int) string {
	return fmt.Sprint("zone ", number%benchZones)
}

// benchRequest returns a request from a daemon in one of the zones, repeatable for every other
// number.
func benchRequest(number int) Request {
	return Request{Zone: benchZone(number), Repeatable: number%2 == 0}
}

// BenchmarkPickAndFinish measures the cost of a request for its dispatcher, with back ends that
// report their load.
func BenchmarkPickAndFinish(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("%d back ends", count), func(b *testing.B) {
			group, now, number := newBenchGroup(count), start, 0
			var inFlight []PickResult
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				number++
				if picked, ok := group.Pick(now, benchRequest(number)); ok {
					inFlight = append(inFlight, picked)
				}
				if len(inFlight) > 2*count {
					group.RecordReport(inFlight[0].Backend, benchReport(number), false, now)
					group.Done(inFlight[0], now, Success, serviceTime)
					inFlight = inFlight[1:]
				}
			}
		})
	}
}

// BenchmarkPickWithoutCapacity measures the cost of a pick while all back ends are full. The first
// waiting request causes one whenever the state of a back end changes.
func BenchmarkPickWithoutCapacity(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("%d back ends", count), func(b *testing.B) {
			group := newBenchGroup(count)
			for ok := true; ok; {
				_, ok = group.Pick(start, benchRequest(0))
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := group.Pick(start, benchRequest(1)); ok {
					b.Fatal("a back end had free capacity")
				}
			}
		})
	}
}

// BenchmarkLoadProbeTarget measures the cost of LoadProbeTarget with requests from every zone.
func BenchmarkLoadProbeTarget(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("%d back ends", count), func(b *testing.B) {
			group, now, probes := newBenchGroup(count), start, 0
			for number := range 2 * benchZones {
				group.Pick(now, benchRequest(number))
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				group.probeCredit = maxProbeCredit
				if target, wanted := group.LoadProbeTarget(now, 25*time.Millisecond, 0); wanted {
					probes++
					group.RecordLoadProbe(now, target, benchReport(probes))
				}
			}
		})
	}
}
