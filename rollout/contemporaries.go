package rollout

import "time"

const (
	// spanOfMoment is the width of the spans in which the old version's requests are counted by when they were sent: a
	// trouble that begins or ends comes to both versions' requests of the same span.
	spanOfMoment = 250 * time.Millisecond
	// momentsKept is for how many spans that is: longer than requests commonly take.
	momentsKept = 64
	// unseenHits are added to those seen, so that a few answers without one do not rule out that it happens often.
	unseenHits = 5
	// mostAssumed bounds a frequency that nothing is known of.
	mostAssumed = 0.95
)

// moment is what became of the old version's requests that were sent in one span.
type moment struct {
	span int64 // its number since 1970
	// sent counts them, but for those that told nothing of how long work takes; told those that did.
	sent, told     float64
	slow, verySlow float64 // of those that told
}

// contemporaries are the old version's requests of all classes by when they were sent. Slowness of a machine or a network
// comes to both versions in the same moments; what the old one answered a second ago says nothing of it, nor do its
// fastest answers while others are still to come.
type contemporaries struct {
	moments [momentsKept]moment
}

// at returns the moment in which a request was sent; nil where that is not kept any more.
func (c *contemporaries) at(sent time.Time) *moment {
	span := sent.UnixNano() / int64(spanOfMoment)
	one := &c.moments[span%momentsKept]
	switch {
	case one.span > span:
		return nil
	case one.span < span:
		*one = moment{span: span}
	}
	return one
}

// sent notes a request that is sent now.
func (c *contemporaries) sent(now time.Time) {
	if one := c.at(now); one != nil {
		one.sent++
	}
}

// answered takes in an answer to a request that was sent at a time.
func (c *contemporaries) answered(sent time.Time, slow, verySlow comparison) {
	one := c.at(sent)
	switch {
	case one == nil:
	case !slow.known || !verySlow.known:
		one.sent = max(one.sent-1, 0)
	default:
		one.told++
		if slow.exceeds {
			one.slow++
		}
		if verySlow.exceeds {
			one.verySlow++
		}
	}
}

// around returns bounds of how often requests that were sent in the same moment were slow and very slow, those that are
// still under way included: near 1 where there were none.
func (c *contemporaries) around(sent time.Time) (slow, verySlow float64) {
	one := c.at(sent)
	if one == nil {
		return mostAssumed, mostAssumed
	}
	all := max(one.sent, one.told)
	bound := func(hits float64) float64 {
		return min((hits+all-one.told+unseenHits)/(all+unseenHits), mostAssumed)
	}
	return bound(one.slow), bound(one.verySlow)
}
