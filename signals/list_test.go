package signals_test

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/signals"
)

// nonResponseFields are the fields of a dialect that do not name response headers.
var nonResponseFields = []string{"Deadline", "Instance", "Tenant", "SelfPrefix"}

// TestEveryHeaderOfADialectIsListed guards against a header that a dialect defines but nothing reads.
func TestEveryHeaderOfADialectIsListed(t *testing.T) {
	var dialect backend.Dialect
	fields := reflect.ValueOf(&dialect).Elem()
	for number := range fields.NumField() {
		name, field := fields.Type().Field(number).Name, fields.Field(number)
		if field.Kind() != reflect.String || slices.Contains(nonResponseFields, name) {
			continue
		}
		field.SetString("X-" + name)
		listed := slices.ContainsFunc(signals.List(), func(signal signals.Signal) bool { return signal.Header(&dialect) == "X-"+name })
		require.True(t, listed, "field %s of backend.Dialect", name)
	}
}

// TestDocsMatchSignalList guards against the table in docs/back-end-signals.md differing from the code.
func TestDocsMatchSignalList(t *testing.T) {
	text, err := os.ReadFile("../docs/back-end-signals.md")
	require.NoError(t, err)
	rows := regexp.MustCompile(`(?m)^\| [^|]+ \| `+"`"+`[^|]*\|.*$`).FindAllString(string(text), -1)
	dialect := backend.DefaultDialect()
	var want []string
	for _, signal := range signals.List() {
		want = append(want, fmt.Sprintf("| %s | `%s` | %s | %s |", signal.Meaning, signal.Header(&dialect), signal.ReadBy, signal.Effect))
	}
	require.Equal(t, want, rows)
}
