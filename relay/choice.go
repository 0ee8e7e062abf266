package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/membership"
)

const (
	// fitDuration is how long a daemon that has relayed a request is preferred.
	fitDuration = 10 * time.Second
	// unfitDuration is how long a daemon that reaches no back ends itself is not asked.
	unfitDuration = time.Second
	// unreachableDuration is how long a daemon that could not be reached is not asked.
	unreachableDuration = 5 * time.Second
	// maxMarks bounds the daemons of which a mark is kept.
	maxMarks = 256
)

// mark is what is known of a daemon until it expires.
type mark struct {
	fit   bool
	until time.Time
}

// Choice chooses the daemons that relay requests. It is pure and not safe for concurrent use.
type Choice struct {
	random *rand.Rand
	marks  map[string]mark
}

// NewChoice returns a choice that knows nothing of other daemons.
func NewChoice(random *rand.Rand) *Choice {
	return &Choice{random: random, marks: make(map[string]mark)}
}

// Next returns a candidate that has not been tried, and false if none may be asked now. Each of the
// daemons that have relayed requests of late is as likely as one that has not been asked: the load is
// spread over more and more daemons.
func (c *Choice) Next(now time.Time, candidates []membership.Member, tried []string) (membership.Member, bool) {
	var fit, unknown []membership.Member
	for _, candidate := range candidates {
		if slices.Contains(tried, candidate.Name) {
			continue
		}
		switch known, marked := c.marks[candidate.Name]; {
		case !marked || !known.until.After(now):
			unknown = append(unknown, candidate)
		case known.fit:
			fit = append(fit, candidate)
		}
	}
	if len(unknown) > 0 {
		fit = append(fit, unknown[c.random.IntN(len(unknown))])
	}
	if len(fit) == 0 {
		return membership.Member{}, false
	}
	return fit[c.random.IntN(len(fit))], true
}

// MarkFit records that a daemon relayed a request.
func (c *Choice) MarkFit(now time.Time, name string) {
	c.set(now, name, mark{fit: true, until: now.Add(fitDuration)})
}

// MarkUnfit records that a daemon cannot relay requests for a duration.
func (c *Choice) MarkUnfit(now time.Time, name string, duration time.Duration) {
	c.set(now, name, mark{until: now.Add(duration)})
}

func (c *Choice) set(now time.Time, name string, known mark) {
	if len(c.marks) >= maxMarks {
		for other, previous := range c.marks {
			if !previous.until.After(now) {
				delete(c.marks, other)
			}
		}
	}
	if _, found := c.marks[name]; found || len(c.marks) < maxMarks {
		c.marks[name] = known
	}
}
