package rollout

import "math"

// evidence is the evidence against the new version, by kind of bad response.
type evidence struct {
	failures, unserved, slow, verySlow cusum
}

// logLikelihoodRatio returns the logarithm of how much more likely a response is from a version that is
// worse by minRegression than from one with the old version's rate of bad responses.
func logLikelihoodRatio(oldRate float64, bad bool) float64 {
	worse := oldRate + minRegression*(1-oldRate)
	if bad {
		return math.Log(worse / oldRate)
	}
	return math.Log((1 - worse) / (1 - oldRate))
}

// cusum is a CUSUM test whose sum is bounded for each back end.
type cusum struct {
	sum       float64
	byBackend map[string]float64
}

// add adds the weight of a response. The contribution of a back end is capped, and the sum does not fall
// below 0: good responses are not credited against later bad ones, as the version may turn bad later.
func (c *cusum) add(backend string, weight, backendCap float64) {
	if c.byBackend == nil {
		c.byBackend = make(map[string]float64)
	}
	before := c.byBackend[backend]
	after := min(before+weight, 2*backendCap)
	c.byBackend[backend] = after
	c.sum += min(after, backendCap) - min(before, backendCap)
	if c.sum <= 0 {
		c.sum = 0
		clear(c.byBackend)
	}
}

// regression returns the kind of bad response by which the version is worse; empty: it is not worse.
func (e *evidence) regression() string {
	switch {
	case e.failures.exceeded():
		return "failures"
	case e.unserved.exceeded():
		return "no answers"
	case e.verySlow.exceeded():
		return "very slow answers"
	case e.slow.exceeded():
		return "slow answers"
	}
	return ""
}

// strongest returns the largest log-likelihood ratio of all kinds.
func (e *evidence) strongest() float64 {
	return max(e.failures.sum, e.unserved.sum, e.verySlow.sum, e.slow.sum)
}

// sumTolerance is the rounding error of a sum of weights, by which it may fall short of cusumThreshold.
const sumTolerance = 1e-9

func (c *cusum) exceeded() bool {
	return c.sum >= cusumThreshold-sumTolerance
}
