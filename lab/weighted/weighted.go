// Package weighted draws from a list by shares.
package weighted

import "math/rand/v2"

// Draw returns one of the choices, each as often as its share of the sum says.
// There must be at least one.
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
