package frontend

import (
	"slices"
	"sync"
	"time"
)

// patience estimates how long a caller has been waiting already. It learns the total time that the
// callers of a route are willing to wait; a caller that retries after a refusal and states less
// remaining time than that has spent the rest. It is safe for concurrent use, and its zero value is
// ready to use.
//
// The estimate assumes that all callers of a route have the same patience. A caller with less patience
// than the others is taken for one that has waited already, and is queued behind them while permits
// are scarce.
type patience struct {
	mutex   sync.Mutex
	byRoute map[string]*waitSamples
}

const (
	// patienceSamples is the number of callers remembered per route.
	patienceSamples = 64
	// patienceOutliers is how many of them may wait longer than the typical patience.
	patienceOutliers = 3
	// maxPatienceRoutes is the maximum number of routes. Beyond it, all samples are discarded; a few
	// requests per route restore the estimate.
	maxPatienceRoutes = 1000
)

// waitSamples holds the remaining times that the last callers of a route stated.
type waitSamples struct {
	last [patienceSamples]time.Duration
	seen int
}

// elapsedWait records the remaining time that a caller states, and returns how long it has been waiting
// already. remaining is 0 if the caller states none; the result is then 0, too.
func (p *patience) elapsedWait(route string, remaining time.Duration) time.Duration {
	if remaining == 0 {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	samples, known := p.byRoute[route]
	if !known {
		if p.byRoute == nil || len(p.byRoute) >= maxPatienceRoutes {
			p.byRoute = make(map[string]*waitSamples)
		}
		samples = new(waitSamples)
		p.byRoute[route] = samples
	}
	samples.last[samples.seen%patienceSamples] = remaining
	samples.seen++
	return max(samples.typicalPatience()-remaining, 0)
}

// typicalPatience returns the total time that callers are willing to wait: the longest remaining time
// except for outliers.
func (r *waitSamples) typicalPatience() time.Duration {
	count := min(r.seen, patienceSamples)
	sorted := slices.Sorted(slices.Values(r.last[:count]))
	return sorted[count-1-min(patienceOutliers, count/8)]
}
