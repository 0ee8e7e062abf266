package simulation

import "time"

func (s *simulation) recordAnswer(r *request) {
	if !s.measured(r) {
		return
	}
	latency := s.now - r.arrivedAt
	s.result.Answered++
	if !s.time().After(r.deadline) {
		s.result.InTime++
		s.result.ClassInTime[r.class.Name]++
	}
	histogram, ok := s.result.Classes[r.class.Name]
	if !ok {
		histogram = newHistogram()
		s.result.Classes[r.class.Name] = histogram
	}
	// Latencies are below the histogram's maximum, because runs are shorter than that.
	_ = s.result.Latency.RecordValue(latency.Microseconds())
	_ = histogram.RecordValue(latency.Microseconds())
	if interval := s.currentInterval(); interval != nil {
		_ = interval.Latency.RecordValue(latency.Microseconds())
	}
}

// currentInterval returns the current interval of the timeline, or nil if there is no timeline.
func (s *simulation) currentInterval() *Interval {
	if s.scenario.Timeline == 0 {
		return nil
	}
	index := int(s.now / s.scenario.Timeline)
	for len(s.result.Intervals) <= index {
		s.result.Intervals = append(s.result.Intervals, Interval{
			From:    time.Duration(len(s.result.Intervals)) * s.scenario.Timeline,
			Latency: newHistogram(), Sent: make([]int, len(s.workers)),
		})
	}
	return &s.result.Intervals[index]
}

func (s *simulation) recordSent(target *worker) {
	interval := s.currentInterval()
	if interval == nil {
		return
	}
	for index, backend := range s.workers {
		if backend == target {
			interval.Sent[index]++
		}
	}
}
