package rollout

import "time"

const (
	// sendBucketWidth is the time span of one bucket of requests. A problem that begins or ends affects
	// both versions' requests of the same bucket alike.
	sendBucketWidth = 250 * time.Millisecond
	// sendBucketCount is how many buckets are kept; together they span more time than requests commonly take.
	sendBucketCount = 64
	// priorHits are added to the observed ones, so that a few responses without a hit do not rule out a high rate.
	priorHits = 5
	// maxAssumedRate bounds a rate of which nothing is known.
	maxAssumedRate = 0.95
)

// sendBucket counts the old version's requests that were sent in one time span.
type sendBucket struct {
	number int64 // of the time span, counted since 1970
	// sent counts requests, without those whose latency could not be compared; compared those whose latency was.
	sent, compared float64
	slow, verySlow float64 // of the compared ones
}

// sendTimeBuckets counts the old version's requests of all classes by when they were sent. A slow machine or network
// affects both versions' requests of the same time. What the old version answered a second ago says nothing about
// it, nor do its fastest responses while others are outstanding.
type sendTimeBuckets struct {
	buckets [sendBucketCount]sendBucket
}

// bucketOf returns the bucket of a send time; nil if it is not kept any more.
func (s *sendTimeBuckets) bucketOf(sent time.Time) *sendBucket {
	number := sent.UnixNano() / int64(sendBucketWidth)
	bucket := &s.buckets[number%sendBucketCount]
	switch {
	case bucket.number > number:
		return nil
	case bucket.number < number:
		*bucket = sendBucket{number: number}
	}
	return bucket
}

// countSent counts a request that is sent now.
func (s *sendTimeBuckets) countSent(now time.Time) {
	if bucket := s.bucketOf(now); bucket != nil {
		bucket.sent++
	}
}

// countResult counts the result of a request that was sent at a given time.
func (s *sendTimeBuckets) countResult(sent time.Time, slow, verySlow comparison) {
	bucket := s.bucketOf(sent)
	switch {
	case bucket == nil:
	case !slow.known || !verySlow.known:
		bucket.sent = max(bucket.sent-1, 0)
	default:
		bucket.compared++
		if slow.exceeds {
			bucket.slow++
		}
		if verySlow.exceeds {
			bucket.verySlow++
		}
	}
}

// upperBounds returns upper bounds of the shares of slow and very slow requests among those sent at about the same
// time. Outstanding requests count as slow; the bounds are near 1 if there were no requests.
func (s *sendTimeBuckets) upperBounds(sent time.Time) (slow, verySlow float64) {
	bucket := s.bucketOf(sent)
	if bucket == nil {
		return maxAssumedRate, maxAssumedRate
	}
	all := max(bucket.sent, bucket.compared)
	bound := func(hits float64) float64 {
		return min((hits+all-bucket.compared+priorHits)/(all+priorHits), maxAssumedRate)
	}
	return bound(bucket.slow), bound(bucket.verySlow)
}
