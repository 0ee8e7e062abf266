package simulation

import "time"

func (s *simulation) record(r *request) {
	if !s.counted(r) {
		return
	}
	latency := s.now - r.begun
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
	// No latency is above the histogram's highest value: runs are shorter.
	_ = s.result.Latency.RecordValue(latency.Microseconds())
	_ = histogram.RecordValue(latency.Microseconds())
	if interval := s.interval(); interval != nil {
		_ = interval.Latency.RecordValue(latency.Microseconds())
	}
}

// interval returns the present interval of the timeline, or nil without one.
func (s *simulation) interval() *Interval {
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

func (s *simulation) noteSent(target *worker) {
	interval := s.interval()
	if interval == nil {
		return
	}
	for index, one := range s.workers {
		if one == target {
			interval.Sent[index]++
		}
	}
}
