package routing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPickAndFinish is what a request costs its dispatcher, with back ends that tell
// their load.
func BenchmarkPickAndFinish(b *testing.B) {
	for _, count := range []int{10, 100} {
		b.Run(fmt.Sprintf("%d back ends", count), func(b *testing.B) {
			var backends []Backend
			for number := range count {
				backends = append(backends, Backend{ID: fmt.Sprint(number), Slots: 6, Window: 6, Warm: true})
			}
			group := newTestGroup(backends...)
			now := start
			var held []PickResult
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if picked, ok := group.Pick(now, Request{}); ok {
					held = append(held, picked)
				}
				if len(held) > 2*count {
					group.Report(held[0].Backend, Report{InFlight: 2, Slowdown: 1}, false, now)
					group.Finished(held[0], now, Success, work)
					held = held[1:]
				}
			}
		})
	}
}
