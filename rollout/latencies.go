package rollout

import (
	"math"
	"time"
)

// Buckets of latencies: each is an eighth of an octave wide, from 100 µs to about 100 s.
const (
	minLatency       = 100 * time.Microsecond
	bucketsPerOctave = 8
	latencyBuckets   = 20 * bucketsPerOctave
	// halveAtCount is the number of latencies at which all counts are halved, so that the median follows
	// the last few hundred.
	halveAtCount = 512
)

// latencyHistogram holds the latencies of recent responses.
type latencyHistogram struct {
	buckets []uint16 // nil: none yet
	count   int
}

func (h *latencyHistogram) add(latency time.Duration) {
	if h.buckets == nil {
		h.buckets = make([]uint16, latencyBuckets)
	}
	octaves := math.Log2(float64(max(latency, minLatency)) / float64(minLatency))
	h.buckets[min(int(octaves*bucketsPerOctave), latencyBuckets-1)]++
	if h.count++; h.count < halveAtCount {
		return
	}
	h.count = 0
	for index := range h.buckets {
		h.buckets[index] /= 2
		h.count += int(h.buckets[index])
	}
}

// median returns the median; 0 if there are too few latencies.
func (h *latencyHistogram) median() time.Duration {
	if h.count < minOldSamples {
		return 0
	}
	seen := 0
	for index, count := range h.buckets {
		if seen += int(count); 2*seen >= h.count {
			return time.Duration(float64(minLatency) * math.Exp2((float64(index)+0.5)/bucketsPerOctave))
		}
	}
	return 0
}
