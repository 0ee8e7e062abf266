package backendlimit_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backendlimit"
)

// TestParse reads small and odd figures each in a stated way.
func TestParse(t *testing.T) {
	limited := func(perSecond float64) backendlimit.Limit {
		return backendlimit.Limit{Limited: true, PerSecond: perSecond}
	}
	for name, one := range map[string]struct {
		values []string
		want   backendlimit.Limit
		fails  string
	}{
		"usual":                     {values: []string{"3.2"}, want: limited(3.2)},
		"below one":                 {values: []string{"0.3"}, want: limited(0.3)},
		"none at all":               {values: []string{"0"}, want: limited(0)},
		"whole":                     {values: []string{"12"}, want: limited(12)},
		"blanks around":             {values: []string{" 3.2 "}, want: limited(3.2)},
		"with an exponent":          {values: []string{"32e-1"}, want: limited(3.2)},
		"absent":                    {},
		"twice: the smaller":        {values: []string{"5", "3.2"}, want: limited(3.2)},
		"in one header, twice":      {values: []string{"5, 3.2"}, want: limited(3.2)},
		"one of them not readable":  {values: []string{"many", "3.2"}, want: limited(3.2)},
		"huge":                      {values: []string{"1e300"}, want: limited(1e300)},
		"empty":                     {values: []string{""}, fails: `request limit ""`},
		"a word":                    {values: []string{"many"}, fails: `request limit "many": not a decimal number`},
		"negative":                  {values: []string{"-1"}, fails: `request limit "-1": below 0`},
		"not a number":              {values: []string{"NaN"}, fails: `request limit "NaN"`},
		"infinite":                  {values: []string{"Inf"}, fails: `request limit "Inf"`},
		"beyond what a float holds": {values: []string{"1e309"}, fails: `request limit "1e309"`},
		"hexadecimal":               {values: []string{"0x1p4"}, fails: `request limit "0x1p4"`},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := backendlimit.Parse(one.values)
			if one.fails != "" {
				require.ErrorContains(t, err, one.fails)
			} else {
				require.NoError(t, err)
			}
			require.Equal(t, one.want, got)
		})
	}
}

// FuzzParse never reads a limit that cannot be used.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"3.2", "0", "-0", "1e309", "NaN", "3,2", ".5", "5e-324"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		got, err := backendlimit.Parse([]string{value})
		if err != nil {
			require.Equal(t, backendlimit.Limit{}, got)
			return
		}
		require.True(t, got.Limited)
		require.GreaterOrEqual(t, got.PerSecond, 0.0)
		require.LessOrEqual(t, got.PerSecond, math.MaxFloat64)
	})
}
