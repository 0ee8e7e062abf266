// Package weighted makes weighted random choices.
package weighted

import "math/rand/v2"

// Draw returns a random choice, each with a probability of its share divided by
// the sum of all shares. There must be at least one choice.
func Draw[T any](random *rand.Rand, choices []T, share func(T) float64) T {
	total := 0.0
	for _, choice := range choices {
		total += share(choice)
	}
	drawn := random.Float64() * total
	for _, choice := range choices {
		drawn -= share(choice)
		if drawn < 0 {
			return choice
		}
	}
	return choices[len(choices)-1]
}
