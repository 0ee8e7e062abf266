package frontend

import (
	"slices"
	"sync"
	"time"
)

// patience learns for how long the callers of a route are willing to wait, so that one
// who comes back after a refusal, and says how much of that is left, is known by it. It
// is safe for concurrent use. The zero value has seen nobody.
//
// It takes the callers of a route for alike. One who is willing to wait less than the
// others is taken for one who has waited already, and goes behind them while places are
// short.
type patience struct {
	mutex   sync.Mutex
	byRoute map[string]*recentWaits
}

const (
	// patienceMemory is how many callers of a route are remembered.
	patienceMemory = 64
	// patienceOutliers is how many of them may be willing to wait longer than is usual.
	patienceOutliers = 3
	// maxPatienceRoutes bounds the routes that are remembered; what is known is
	// forgotten beyond it, and learned anew within some requests.
	maxPatienceRoutes = 1000
)

// recentWaits are the times that the last callers of a route were still willing to wait.
type recentWaits struct {
	last [patienceMemory]time.Duration
	seen int
}

// waited returns for how long the caller of a request has waited already, who says how
// long it goes on; 0: it did not say.
func (p *patience) waited(route string, remaining time.Duration) time.Duration {
	if remaining == 0 {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	recent, known := p.byRoute[route]
	if !known {
		if p.byRoute == nil || len(p.byRoute) >= maxPatienceRoutes {
			p.byRoute = make(map[string]*recentWaits)
		}
		recent = new(recentWaits)
		p.byRoute[route] = recent
	}
	recent.last[recent.seen%patienceMemory] = remaining
	recent.seen++
	return max(recent.usual()-remaining, 0)
}

// usual returns how long callers are willing to wait in all: as long as most of those
// say who say the most.
func (r *recentWaits) usual() time.Duration {
	count := min(r.seen, patienceMemory)
	sorted := slices.Sorted(slices.Values(r.last[:count]))
	return sorted[count-1-min(patienceOutliers, count/8)]
}
