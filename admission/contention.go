package admission

import (
	"math"
	"time"
)

const (
	// minGrantProbability is the probability of a permit in time below which a request is
	// refused. At back ends that slow down when full, on days with overload, 0.2 and 0.5 served
	// 0.006 and 0.005 less of the worth (means of 15 days; two such means of the same code
	// differ by 0.003).
	minGrantProbability = 0.05
	// minWaiting is the number of requests that may wait whatever their probability, so that
	// a released permit always finds one. With five times as many requests as can be served,
	// a minimum of 1 lowers the fraction served in time from 0.182 to 0.154 (TestPatterns,
	// overload).
	minWaiting = 3
)

// worthWaiting reports whether a request should wait that has this many others ahead of it
// and can use a permit for this long.
func (t contention) worthWaiting(ahead int, within time.Duration) bool {
	if within <= 0 {
		return false
	}
	return ahead < minWaiting || t.grantProbability(ahead, within) >= minGrantProbability
}

// contention describes the competition that a waiting request faces.
type contention struct {
	releasesPerSecond  float64 // permits released
	overtakesPerSecond float64 // arriving requests of a higher priority
}

// grantProbability returns the probability that a request with this many others ahead of it
// gets a permit within a time, which must be positive.
//
// Later requests may overtake it, so that its distance from the next permit is a random
// walk: it shrinks by releasesPerSecond − overtakesPerSecond on average, with the variance
// releasesPerSecond + overtakesPerSecond of two Poisson processes. The first passage time of
// a Brownian motion with that drift and variance has an inverse Gaussian distribution (Cox
// and Miller, The Theory of Stochastic Processes, 1965, section 5.7). If more requests
// overtake than permits are released, the probability stays below
// (releasesPerSecond / overtakesPerSecond) to the power of the distance, however long the
// request waits.
func (t contention) grantProbability(ahead int, within time.Duration) float64 {
	seconds := within.Seconds()
	variance := t.releasesPerSecond + t.overtakesPerSecond
	if variance == 0 {
		return 1 // no rates are known yet
	}
	distance, drift := float64(ahead+1), t.releasesPerSecond-t.overtakesPerSecond
	deviation := math.Sqrt(variance) * math.Sqrt(seconds)
	near := (drift*seconds - distance) / deviation
	return min(normalCDF(near)+reflectedTerm(near, (drift*seconds+distance)/deviation, 2*drift/variance*distance), 1)
}

// reflectedTerm returns exp(exponent) × normalCDF(−far), where exponent is (far² − near²) / 2.
// It avoids overflow of the exponential, which occurred with 354 requests ahead while the
// other factor was 0.
func reflectedTerm(near, far, exponent float64) float64 {
	if far < 0 {
		return math.Exp(exponent) * normalCDF(-far) // the exponent is negative here
	}
	return math.Exp(-near*near/2) * erfcx(far/math.Sqrt2) / 2
}

// erfcx returns the scaled complementary error function exp(x²) × erfc(x) for x ≥ 0.
func erfcx(x float64) float64 {
	// From here on the first two terms of the asymptotic series are accurate to 1e-8, and exp(x²)
	// is still far from overflow.
	const asymptotic = 20
	if x < asymptotic {
		return math.Exp(x*x) * math.Erfc(x)
	}
	return (1 - 1/(2*x*x)) / (x * math.Sqrt(math.Pi))
}

// normalCDF is the cumulative distribution function of the standard normal distribution.
func normalCDF(x float64) float64 {
	return math.Erfc(-x/math.Sqrt2) / 2
}
