package backendlimit_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backendlimit"
)

// TestParse covers small, unusual and invalid header values.
func TestParse(t *testing.T) {
	limited := func(perSecond float64) backendlimit.Limit {
		return backendlimit.Limit{Limited: true, PerSecond: perSecond}
	}
	for name, test := range map[string]struct {
		values []string
		want   backendlimit.Limit
		fails  string
	}{
		"fraction":                     {values: []string{"3.2"}, want: limited(3.2)},
		"below one":                    {values: []string{"0.3"}, want: limited(0.3)},
		"zero":                         {values: []string{"0"}, want: limited(0)},
		"integer":                      {values: []string{"12"}, want: limited(12)},
		"surrounded by spaces":         {values: []string{" 3.2 "}, want: limited(3.2)},
		"with an exponent":             {values: []string{"32e-1"}, want: limited(3.2)},
		"absent":                       {},
		"smaller of two headers":       {values: []string{"5", "3.2"}, want: limited(3.2)},
		"smaller of two in one header": {values: []string{"5, 3.2"}, want: limited(3.2)},
		"one of two invalid":           {values: []string{"many", "3.2"}, want: limited(3.2)},
		"huge":                         {values: []string{"1e300"}, want: limited(1e300)},
		"empty":                        {values: []string{""}, fails: `request limit ""`},
		"word":                         {values: []string{"many"}, fails: `request limit "many": not a decimal number`},
		"negative":                     {values: []string{"-1"}, fails: `request limit "-1": below 0`},
		"not a number":                 {values: []string{"NaN"}, fails: `request limit "NaN"`},
		"infinite":                     {values: []string{"Inf"}, fails: `request limit "Inf"`},
		"beyond the range of float64":  {values: []string{"1e309"}, fails: `request limit "1e309"`},
		"hexadecimal":                  {values: []string{"0x1p4"}, fails: `request limit "0x1p4"`},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := backendlimit.Parse(test.values)
			if test.fails != "" {
				require.ErrorContains(t, err, test.fails)
			} else {
				require.NoError(t, err)
			}
			require.Equal(t, test.want, got)
		})
	}
}

// FuzzParse checks that every parsed limit is a finite number of at least 0.
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
